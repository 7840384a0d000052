#ifndef MAGNOLIAREEL_TESTS_SIMULATION_SIM_NETWORK_H_
#define MAGNOLIAREEL_TESTS_SIMULATION_SIM_NETWORK_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/core.h"
#include "tests/simulation/sim_node.h"

namespace magnoliareel::sim {

/** Carries calls between processes, with delays, cuts and lost answers. */
class SimNetwork {
 public:
  SimNetwork(ManualExecutor& world, ProcessRandom& random)
      : world_(world), random_(random) {}

  /** Cuts or joins a pair of processes, by name. */
  void SetCut(const std::string& a, const std::string& b, bool is_cut) {
    const auto pair = a < b ? std::pair(a, b) : std::pair(b, a);
    if (is_cut) {
      cuts_.insert(pair);
    } else {
      cuts_.erase(pair);
    }
  }
  void HealAll() {
    cuts_.clear();
    loss_permille_ = 0;
  }
  /** Sets how many of a thousand answers are lost. */
  void SetLoss(unsigned permille) { loss_permille_ = permille; }

  /** Makes a call.

      @tparam A       type of the answer
      @param from     the caller
      @param to       the process called; may be gone
      @param handle   runs at the process called, takes what sends the answer
      @param timeout  longest time for the answer
      @param done     runs at the caller, once
  */
  template <class A>
  void Call(SimNode& from,
            std::shared_ptr<SimNode> to,
            std::function<void(std::function<void(A)>)> handle,
            Duration timeout,
            std::function<void(std::error_code, A)> done) {
    struct State {
      bool is_finished = false;
      bool is_delivered = false;
      uint64_t reset = 0;
    };
    auto state = std::make_shared<State>();
    auto finish = [this, state, to, &from, done](std::error_code ec, A answer) {
      if (std::exchange(state->is_finished, true)) {
        return;
      }
      to->RemoveReset(state->reset);
      from.Post([done, ec, answer = std::move(answer)] { done(ec, answer); });
    };
    world_.After(timeout, [state, finish] {
      finish(state->is_delivered ? Error::kAnswerLost : Error::kUnreachable,
             A{});
    });
    world_.After(ChooseDelay(), [this, &from, to, state, finish, handle] {
      if (IsCut(from, *to)) {
        return;
      }
      if (to->IsDead()) {
        world_.After(ChooseDelay(),
                     [finish] { finish(Error::kUnreachable, A{}); });
        return;
      }
      state->is_delivered = true;
      state->reset =
          to->AddReset([finish] { finish(Error::kAnswerLost, A{}); });
      to->Post([this, &from, to, finish, handle] {
        handle([this, &from, to, finish](A answer) {
          if (IsCut(from, *to)) {
            return;
          }
          const bool is_lost = random_() % 1000 < loss_permille_;
          world_.After(ChooseDelay(),
                       [finish, is_lost, answer = std::move(answer)] {
                         finish(is_lost ? make_error_code(Error::kAnswerLost)
                                        : std::error_code(),
                                answer);
                       });
        });
      });
    });
  }

 private:
  bool IsCut(const SimNode& a, const SimNode& b) const {
    const auto pair = a.GetName() < b.GetName()
                          ? std::pair(a.GetName(), b.GetName())
                          : std::pair(b.GetName(), a.GetName());
    return cuts_.contains(pair);
  }
  Duration ChooseDelay() { return Duration(200 + random_() % 1300); }

  ManualExecutor& world_;
  ProcessRandom& random_;
  std::set<std::pair<std::string, std::string>> cuts_;
  unsigned loss_permille_ = 0;
};

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_NETWORK_H_
