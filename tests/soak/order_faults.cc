#include "tests/soak/order_faults.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <utility>

#include "tests/soak/action_output.h"

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

// Keeps the choices apart from those of other schedules with the same seed.
constexpr uint64_t kSeedOffset = 0x6f726472;
// Parts of the orders and demotions, in percent, that meet a fault.
constexpr size_t kLateOrders = 30;
constexpr size_t kInterruptedHolders = 30;
constexpr size_t kRevertedDemotions = 60;
constexpr Duration kWatchInterval = milliseconds(5);
// A little more than the grace period of a node.
constexpr Duration kGracePeriod = milliseconds(4500);

}  // namespace

std::optional<OrderFaultKinds> ParseOrderFaultKinds(std::string_view text) {
  constexpr std::array<std::pair<std::string_view, bool OrderFaultKinds::*>, 8>
      kKinds = {{{"late", &OrderFaultKinds::has_late_orders},
                 {"holder", &OrderFaultKinds::interrupts_holders},
                 {"back", &OrderFaultKinds::demoted_lead_again},
                 {"deaf", &OrderFaultKinds::ordered_receive_nothing},
                 {"refuse", &OrderFaultKinds::refuses_cut_nodes},
                 {"drain", &OrderFaultKinds::drains_primaries},
                 {"roll", &OrderFaultKinds::restarts_nodes},
                 {"small", &OrderFaultKinds::has_small_databases}}};
  OrderFaultKinds kinds;
  while (!text.empty()) {
    const std::string_view word = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), word.size() + 1));
    const auto it =
        std::find_if(kKinds.begin(), kKinds.end(),
                     [word](const auto& kind) { return kind.first == word; });
    if (it == kKinds.end()) {
      return std::nullopt;
    }
    kinds.*it->second = true;
  }
  return kinds;
}

OrderFaults::OrderFaults(EventLoop& loop,
                         SiteServer& site,
                         DatabaseFaults& databases,
                         MembershipFaults& membership,
                         const OrderFaultKinds& kinds,
                         size_t node_count,
                         uint64_t seed)
    : loop_(loop),
      site_(site),
      databases_(databases),
      membership_(membership),
      kinds_(kinds),
      node_count_(node_count),
      random_(seed + kSeedOffset),
      watch_timer_(loop, [this] { WatchDemotions(); }) {
  if (kinds_.demoted_lead_again) {
    watch_timer_.StartRepeating(kWatchInterval);
  }
}

Duration OrderFaults::ChooseDuration(int64_t min_ms, int64_t max_ms) {
  const auto span = static_cast<size_t>(max_ms - min_ms + 1);
  return milliseconds(min_ms + static_cast<int64_t>(Choose(span)));
}

void OrderFaults::Begin() {
  if (kinds_.restarts_nodes) {
    RestartNode(Choose(node_count_) + 1);
  }
  if (kinds_.drains_primaries) {
    DrainPrimary();
  }
}

// A node that has been told to stop serves its sessions for its grace period.
void OrderFaults::RestartNode(size_t node) {
  if (has_ended_) {
    return;
  }
  const bool is_killed = Choose(2) == 0;
  PrintAction(is_killed ? "kill" : "stop", node);
  RunLater(loop_, is_killed ? ChooseDuration(50, 500) : kGracePeriod,
           [this, node] {
             PrintAction("start", node);
             RestartNode(node % node_count_ + 1);
           });
}

void OrderFaults::DrainPrimary() {
  if (has_ended_) {
    return;
  }
  if (const std::optional<size_t> it = membership_.FindPrimary()) {
    databases_.Inject("drain", *it);
    RunLater(loop_, ChooseDuration(500, 1500),
             [this, it] { databases_.Inject("stay", *it); });
  }
  RunLater(loop_, ChooseDuration(2000, 4000), [this] { DrainPrimary(); });
}

Duration OrderFaults::HandleCall(const PromotionCall& call) {
  const std::string name = "order-" + call.endpoint + "-" +
                           std::to_string(call.fencing_token) + "-of";
  const size_t digits = call.holder.find_last_not_of("0123456789") + 1;
  const size_t node = std::strtoull(call.holder.c_str() + digits, nullptr, 10);
  PrintAction("fault " + name, node);
  if (has_ended_) {
    return {};
  }
  if (kinds_.interrupts_holders && node > 0 &&
      Choose(100) < kInterruptedHolders) {
    RunLater(loop_, ChooseDuration(0, 20),
             [this, node] { InterruptHolder(node); });
  }
  if (kinds_.has_late_orders && Choose(100) < kLateOrders) {
    PrintAction("fault late-" + name, node);
    return ChooseDuration(200, 3700);
  }
  return {};
}

void OrderFaults::InterruptHolder(size_t node) {
  if (has_ended_) {
    return;
  }
  const bool is_killed = Choose(2) == 0;
  PrintAction(is_killed ? "kill" : "pause", node);
  RunLater(loop_, ChooseDuration(500, 4500), [node, is_killed] {
    PrintAction(is_killed ? "start" : "continue", node);
  });
}

void OrderFaults::WatchDemotions() {
  const GroupModel& group = site_.GetGroup();
  bool is_demoted = false;
  for (size_t it = 0; it < group.CountMembers(); ++it) {
    is_demoted = is_demoted || group.IsDemoted(it);
  }
  if (is_demoted && !std::exchange(was_demoted_, is_demoted) && !has_ended_ &&
      Choose(100) < kRevertedDemotions) {
    RunLater(loop_, ChooseDuration(5, 250), [this] { RevertDemotion(); });
  }
  was_demoted_ = is_demoted;
}

// The restart of a paused replica ends its pause.
void OrderFaults::RevertDemotion() {
  const GroupModel& group = site_.GetGroup();
  const bool restarts_replica = Choose(2) == 0;
  for (size_t it = 0; it < group.CountMembers() && !has_ended_; ++it) {
    if (group.IsDemoted(it)) {
      Restart(it);
    } else if (group.IsPaused(it) && restarts_replica) {
      databases_.Inject("hear", it);
      Restart(it);
    }
  }
}

void OrderFaults::Restart(size_t member) {
  databases_.Inject("crash", member);
  RunLater(loop_, ChooseDuration(20, 120),
           [this, member] { databases_.Inject("restart", member); });
}

}  // namespace magnoliareel
