#include "tests/interleavings/search_world.h"

#include <algorithm>
#include <cstdio>

namespace magnoliareel {
namespace {

const ServiceId kService{"groyne-logs"};
constexpr Duration kCommitInterval = std::chrono::milliseconds(200);
constexpr Duration kFirstCommitDelay = std::chrono::milliseconds(4030);
constexpr Duration kTrafficInterval = std::chrono::milliseconds(50);
constexpr Duration kStallThreshold = std::chrono::milliseconds(350);
constexpr Duration kHeartbeatLatency = std::chrono::milliseconds(2);
// From the end of the faults until cuts and deafness end; a crashed endpoint
// is back later, when its entry has expired.
constexpr Duration kHealDelay = std::chrono::seconds(3);
constexpr Duration kRestartDelay = std::chrono::seconds(12);

}  // namespace

SearchWorld::SearchWorld(const SearchOptions& options,
                         Chooser chooser,
                         std::span<const TimedFault> faults)
    : options_(options), chooser_(std::move(chooser)) {
  FakeDutyRowCodec::rows.clear();
  routes_->services[kService] = {32, 1};
  for (const TimedFault& it : faults) {
    Schedule(kStart + it.at, StateHash().Add(DescribeFault(it.fault)).Get(), {},
             [this, fault = it.fault] { Inject(fault); });
  }
  for (size_t it = 0; it < kVms; ++it) {
    StartVm(it);
  }
  PublishLater(Duration(0));
  Schedule(kStart + kFirstCommitDelay, 1, {PointKind::kCommit, 0, 0},
           [this] { RunCommits(); });
  const TimePoint end = kStart + options_.faults_until;
  Schedule(end + kHealDelay, 2, {}, [this] { Heal(); });
  Schedule(end + kRestartDelay, 3, {}, [this] { RestartMembers(); });
}

void SearchWorld::Schedule(TimePoint at,
                           uint64_t tag,
                           ChoicePoint point,
                           std::function<void()> task) {
  tasks_.emplace(at, Task{tag, point, std::move(task)});
}

void SearchWorld::Note(const std::string& text) {
  if (has_timeline_) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%8.3f s  ",
                  static_cast<double>(GetElapsed().count()) / 1e6);
    timeline_.push_back(buf + text);
  }
}

RunOutcome SearchWorld::Run() {
  while (outcome_ == RunOutcome::kClean && !tasks_.empty()) {
    now_ = tasks_.begin()->first;
    if (!Choose(tasks_.begin()->second.point)) {
      return RunOutcome::kPruned;
    }
    // Faults only add events at later times, so the event is still the first.
    auto node = tasks_.extract(tasks_.begin());
    node.mapped().run();
    if (healed_at_ && outcome_ == RunOutcome::kClean && HasSettled()) {
      break;
    }
  }
  return outcome_;
}

bool SearchWorld::HasSettled() {
  const bool is_used = group_.FindPrimary() && !group_.HasWaitingCommit() &&
                       group_.GetCommits().size() > commits_at_heal_;
  if (is_used && orders_in_transit_ == 0) {
    return true;
  }
  if (now_ < *healed_at_ + options_.recovery_limit) {
    return false;
  }
  if (!is_used) {
    Note("no primary is found");
    outcome_ =
        departures_ < 2 ? RunOutcome::kNoPrimary : RunOutcome::kWaitsForPerson;
  }
  return true;
}

bool SearchWorld::Choose(const ChoicePoint& point) {
  const Duration at = GetElapsed();
  const bool may_fail = point.kind != PointKind::kNone && chooser_ &&
                        at >= options_.faults_from &&
                        at <= options_.faults_until;
  return !may_fail || chooser_(*this, point);
}

void SearchWorld::StartVm(size_t vm) {
  all_vms_.push_back(std::make_unique<SearchVm>(*this, vm));
  vms_[vm] = all_vms_.back().get();
  RunPeriods(vm, vms_[vm]);
  RunTraffic(vm, vms_[vm]);
}

void SearchWorld::RunPeriods(size_t vm, SearchVm* instance) {
  if (vms_[vm] == instance) {
    instance->Deliver([instance] { instance->HandlePeriod(); });
    After(kHeartbeatPeriod, [this, vm, instance] { RunPeriods(vm, instance); });
  }
}

void SearchWorld::RunTraffic(size_t vm, SearchVm* instance) {
  if (vms_[vm] == instance) {
    instance->Deliver([instance] { instance->ObserveTraffic(); });
    After(kTrafficInterval, [this, vm, instance] { RunTraffic(vm, instance); });
  }
}

void SearchWorld::RunCommits() {
  if (const uint32_t vms = ListCommitters(); vms != 0) {
    const uint32_t commit = group_.Commit(vms);
    for (size_t it = 0; it < kVms; ++it) {
      if ((vms >> it & 1U) != 0) {
        vms_[it]->RecordSentCommit(
            commit, group_.GetMembers()[*group_.FindPrimary()].id);
      }
    }
    Note("commit " + std::to_string(commit) + " runs at member " +
         std::to_string(*group_.FindPrimary()));
    Replicate();
  }
  Schedule(now_ + kCommitInterval, 1, {PointKind::kCommit, 0, 0},
           [this] { RunCommits(); });
}

void SearchWorld::Replicate() {
  const auto answered = group_.Replicate(ListObservers());
  if (!answered.empty()) {
    Note(std::to_string(answered.size()) +
         " commit(s) acknowledged by member " +
         std::to_string(*group_.FindPrimary()));
  }
  for (const auto& [commit, vms] : answered) {
    const LogPoint end = group_.GetLedEnd(*group_.FindPrimary());
    for (size_t it = 0; it < kVms; ++it) {
      if (SearchVm* vm = vms_[it]; vm != nullptr && (vms >> it & 1U) != 0) {
        vm->Deliver([vm, commit, end] { vm->RecordAnswer(commit, end); });
      }
    }
  }
  if (!group_.HasWaitingCommit()) {
    waiting_since_.reset();
  } else if (!waiting_since_) {
    waiting_since_ = now_;
  }
}

bool SearchWorld::HasStalledCommit() const {
  return waiting_since_ && now_ - *waiting_since_ >= kStallThreshold;
}

uint32_t SearchWorld::ListObservers() const {
  const std::optional<size_t> primary = group_.FindPrimary();
  uint32_t vms = 0;
  for (size_t it = 0; primary && it < kVms; ++it) {
    vms |= vms_[it] != nullptr && IsConnected(it, *primary) ? 1U << it : 0U;
  }
  return vms;
}

uint32_t SearchWorld::ListCommitters() const {
  uint32_t vms = ListObservers();
  for (size_t it = 0; it < kVms; ++it) {
    if ((vms >> it & 1U) != 0 &&
        !vms_[it]->MayCommitAt(group_.GetMembers()[*group_.FindPrimary()].id)) {
      vms &= ~(1U << it);
    }
  }
  return vms;
}

bool SearchWorld::Reaches(size_t vm, const EndpointId& endpoint) const {
  const std::optional<size_t> member = group_.Find(endpoint);
  return member && group_.GetMembers()[*member].is_running &&
         IsConnected(vm, *member);
}

std::optional<Term> SearchWorld::FindLedTerm(size_t vm,
                                             const EndpointId& endpoint) const {
  if (!Reaches(vm, endpoint)) {
    return std::nullopt;
  }
  const GroupMember& member = group_.GetMembers()[*group_.Find(endpoint)];
  return member.is_primary ? std::optional(member.term) : std::nullopt;
}

std::optional<LogPoint> SearchWorld::FindLedEnd(
    size_t vm,
    const EndpointId& endpoint) const {
  return FindLedTerm(vm, endpoint)
             ? std::optional(group_.GetLedEnd(*group_.Find(endpoint)))
             : std::nullopt;
}

void SearchWorld::SendHeartbeat(size_t vm) {
  const Heartbeat heartbeat = vms_[vm]->MakeHeartbeat();
  const auto departures = vms_[vm]->ListDepartures();
  Schedule(now_ + kHeartbeatLatency, StateHash().Add(4).Add(vm).Get(), {},
           [this, peer = 1 - vm, heartbeat, departures] {
             if (SearchVm* it = vms_[peer]; !are_peers_cut_ && it != nullptr) {
               it->Deliver([it, heartbeat, departures] {
                 it->HandleHeartbeat(heartbeat, departures);
               });
             }
           });
}

void SearchWorld::SendToVm(const SocketAddress& to,
                           std::function<void(SearchVm&)> message) {
  Schedule(now_ + kHeartbeatLatency, StateHash().Add(17).Add(to.port).Get(), {},
           [this, to, message = std::move(message)] {
             for (SearchVm* it : vms_) {
               if (!are_peers_cut_ && it != nullptr && it->GetAddress() == to) {
                 it->Deliver([it, message] { message(*it); });
               }
             }
           });
}

void SearchWorld::PublishLater(Duration delay) {
  Schedule(now_ + delay, 5, {PointKind::kListing, 0, 0}, [this] { Publish(); });
}

void SearchWorld::Publish() {
  if (now_ < listings_blocked_until_) {
    if (!std::exchange(is_publication_scheduled_, true)) {
      Schedule(listings_blocked_until_, 6, {}, [this] {
        is_publication_scheduled_ = false;
        Publish();
      });
    }
    return;
  }
  FleetView view = MakeView();
  if (view.endpoints == directory_) {
    return;
  }
  directory_ = view.endpoints;
  std::string text;
  for (const EndpointEntry& it : directory_) {
    text += " " + it.id.value + (it.claims_primary ? " (primary)" : "") +
            (it.draining ? " (draining)" : "");
  }
  Note("listed:" + text);
  for (SearchVm* it : vms_) {
    if (it != nullptr) {
      it->Deliver([it, view] { it->Apply(view); });
    }
  }
}

FleetView SearchWorld::MakeView() {
  FleetView view;
  view.routes = routes_;
  view.live_vms = kVms;
  const auto& members = group_.GetMembers();
  for (size_t it = 0; it < members.size(); ++it) {
    Registration& registration = registrations_[it];
    if (now_ < registration.listed_at ||
        (registration.expires_at && now_ >= *registration.expires_at)) {
      continue;
    }
    EndpointEntry entry;
    entry.id = members[it].id;
    entry.service = kService;
    entry.draining = members[it].is_draining;
    entry.claims_primary = members[it].is_primary;
    if (members[it].is_running &&
        (registration.report == 0 ||
         registration.reports_primary != entry.claims_primary ||
         registration.reports_draining != entry.draining)) {
      registration.reports_primary = entry.claims_primary;
      registration.reports_draining = entry.draining;
      registration.report = ++report_count_;
    }
    entry.report_number = registration.report;
    if (!members[it].is_running) {
      // A crashed endpoint reports nothing; its entry stays as it is.
      const auto old = std::find_if(
          directory_.begin(), directory_.end(),
          [&](const EndpointEntry& listed) { return listed.id == entry.id; });
      entry.claims_primary = old != directory_.end() && old->claims_primary;
    }
    view.endpoints.push_back(std::move(entry));
  }
  std::sort(view.endpoints.begin(), view.endpoints.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return view;
}

}  // namespace magnoliareel
