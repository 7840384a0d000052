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
  return session.is_forwarded || teams == nullptr ||
         (session.route != nullptr && session.route->is_public) ||
         teams->FindByKey(session.key) != nullptr;
}

template <ForwardingDialect D, class N>
bool TrafficCore<D, N>::RefreshTeam(CallerSession& session) {
  const TeamTable* teams = view_->routes->teams.get();
  const Team* team = teams == nullptr ? nullptr : teams->FindByKey(session.key);
  if (teams != nullptr) {
    // It may be a key, which no log line may show.
    session.caller = team == nullptr ? "" : team->id.value;
  }
  session.team = team == nullptr ? TeamId{} : team->id;
  if (IsAuthorized(session)) {
    return true;
  }
  EndUnauthorized(session);
  return false;
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
void TrafficCore<D, N>::EndWaitingUnauthorized() {
  std::vector<uint64_t> ending;
  for (const auto& [id, session] : sessions_) {
    if (session.opened && session.IsBusy() &&
        session.statement.connections.empty() && !IsAuthorized(session)) {
      ending.push_back(id);
    }
  }
  for (const uint64_t it : ending) {
    if (CallerSession* session = FindSession(it)) {
      EndUnauthorized(*session);
    }
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_CORE_TEAMS_H_
