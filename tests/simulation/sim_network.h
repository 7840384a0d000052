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

/** Carries calls between processes, with delays, partitions and answer loss. */
class SimNetwork {
 public:
  SimNetwork(ManualExecutor& executor, ProcessRandom& random)
      : executor_(executor), random_(random) {}

  /** Starts or ends a network partition between two processes, by name. */
  void SetPartitioned(const std::string& a,
                      const std::string& b,
                      bool is_partitioned) {
    const auto pair = a < b ? std::pair(a, b) : std::pair(b, a);
    if (is_partitioned) {
      partitions_.insert(pair);
    } else {
      partitions_.erase(pair);
    }
  }
  /** Ends all partitions and the loss of answers. */
  void ClearFaults() {
    partitions_.clear();
    answer_loss_permille_ = 0;
  }
  /** Sets how many in a thousand answers are lost. */
  void SetAnswerLossRate(unsigned permille) {
    answer_loss_permille_ = permille;
  }

  /** Calls a process.

      @tparam A       type of the answer
      @param from     the calling process
      @param to       the process to call; may have ended
      @param handle   runs in the called process and takes a function that sends
                      the answer
      @param timeout  longest wait for the answer
      @param done     runs in the calling process, once; the error is
                      Error::kUnreachable if the call was not delivered and
                      Error::kAnswerLost if its answer did not arrive
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
      uint64_t reset_id = 0;
    };
    auto state = std::make_shared<State>();
    auto finish = [this, state, to, &from, done](std::error_code ec, A answer) {
      if (std::exchange(state->is_finished, true)) {
        return;
      }
      to->RemoveResetHandler(state->reset_id);
      from.Post([done, ec, answer = std::move(answer)] { done(ec, answer); });
    };
    executor_.After(timeout, [state, finish] {
      finish(state->is_delivered ? Error::kAnswerLost : Error::kUnreachable,
             A{});
    });
    executor_.After(ChooseDelay(), [this, &from, to, state, finish, handle] {
      if (IsPartitioned(from, *to)) {
        return;
      }
      if (to->IsDead()) {
        executor_.After(ChooseDelay(),
                        [finish] { finish(Error::kUnreachable, A{}); });
        return;
      }
      state->is_delivered = true;
      state->reset_id =
          to->AddResetHandler([finish] { finish(Error::kAnswerLost, A{}); });
      to->Post([this, &from, to, finish, handle] {
        handle([this, &from, to, finish](A answer) {
          if (IsPartitioned(from, *to)) {
            return;
          }
          const bool is_lost = random_() % 1000 < answer_loss_permille_;
          executor_.After(ChooseDelay(),
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
  bool IsPartitioned(const SimNode& a, const SimNode& b) const {
    const auto pair = a.GetName() < b.GetName()
                          ? std::pair(a.GetName(), b.GetName())
                          : std::pair(b.GetName(), a.GetName());
    return partitions_.contains(pair);
  }
  Duration ChooseDelay() { return Duration(200 + random_() % 1300); }

  ManualExecutor& executor_;
  ProcessRandom& random_;
  std::set<std::pair<std::string, std::string>> partitions_;
  unsigned answer_loss_permille_ = 0;
};

}  // namespace magnoliareel::sim

#endif  // MAGNOLIAREEL_TESTS_SIMULATION_SIM_NETWORK_H_
