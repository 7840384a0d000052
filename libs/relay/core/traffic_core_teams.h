#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TEAMS_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TEAMS_H_

// Keys of callers and their teams. Included by traffic_core.h.

#include <string>
#include <utility>
#include <vector>

#include "relay/core/traffic_core.h"
#include "relay/core/traffic_limits.h"

namespace magnoliareel {

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::IsAuthorized(const CallerSession& session) const {
  const TeamTable* teams = view_->routes->teams.get();
  if (session.is_forwarded || teams == nullptr ||
      teams->FindByKey(session.key) != nullptr) {
    return true;
  }
  const std::shared_ptr<const DatabaseRoute> route =
      view_->routes->Find(session.database);
  const DatabaseRoute* used = route ? route.get() : session.route.get();
  return used != nullptr && used->is_public;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::RefreshTeam(CallerSession& session) {
  if (session.is_forwarded) {
    return true;
  }
  const TeamTable* teams = view_->routes->teams.get();
  const Team* team = teams == nullptr ? nullptr : teams->FindByKey(session.key);
  if (teams != nullptr) {
    // It may be a key, which no log line may show.
    session.caller = team == nullptr ? "" : team->id.value;
  }
  if (!IsAuthorized(session)) {
    EndUnauthorized(session);
    return false;
  }
  session.team = team == nullptr ? TeamId{} : team->id;
  return true;
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::EndUnauthorized(CallerSession& session) {
  ++counters_.callers_unauthorized;
  LogEvent(Event::kCallerUnauthorized,
           {{"database", session.database},
            {"team", session.team.value},
            {"config", std::to_string(view_->routes->version)}});
  std::string& out = net_.GetCallerBuffer(session.id);
  D::AppendError(out, StatementError::kNotAllowed, "no team has this key");
  if (session.opened) {
    D::AppendReady(out, TransactionStatus::kIdle, {});
  }
  EndSession(session);
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RefreshTeams() {
  std::vector<uint64_t> waiting;
  for (auto& [id, session] : sessions_) {
    if (session.is_forwarded) {
      continue;
    }
    if (view_->routes->teams != nullptr) {
      // It was given as a name, and may be a key now.
      session.caller.clear();
    }
    if (session.opened && session.IsBusy() &&
        session.statement.connections.empty()) {
      waiting.push_back(id);
    }
  }
  for (const uint64_t it : waiting) {
    CallerSession* session = FindSession(it);
    if (session == nullptr || !session->IsBusy()) {
      continue;
    }
    if (session->transaction != TransactionPhase::kOpen) {
      RefreshWaiting(*session);
    } else if (!IsAuthorized(*session)) {
      EndUnauthorized(*session);
    }
  }
  for (auto& [endpoint, pool] : pools_) {
    for (QueuedStatement& it : pool.queue) {
      const CallerSession* session = FindSession(it.session);
      it.team_hash = session == nullptr ? 0 : HashTeam(session->team);
      pool.serves_teams = pool.serves_teams || it.team_hash != 0;
    }
  }
}

template <ForwardingDialect D, class N>
void TrafficCore<D, N>::RefreshWaiting(CallerSession& session) {
  // A permit that is awaited is one of the former team.
  const bool awaits_permit = session.statement.awaits_permit;
  CancelPermit(session);
  if (!RefreshTeam(session) || !awaits_permit) {
    return;
  }
  session.transaction_charged = false;
  if (ChargeOperation(session)) {
    Dispatch(session);
  }
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::MayUse(const PooledConnection& connection,
                               const CallerSession& session) const {
  if (session.is_forwarded ||
      session.statement.config_version == view_->routes->version) {
    return true;
  }
  const TeamTable* teams = view_->routes->teams.get();
  const Team* team = teams == nullptr ? nullptr : teams->FindByKey(session.key);
  return IsAuthorized(session) &&
         (connection.IsForwarded() ||
          connection.team == (team == nullptr ? TeamId{} : team->id));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TEAMS_H_
