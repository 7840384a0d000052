#ifndef MAGNOLIAREEL_RELAY_CORE_HEDGE_BUDGET_H_
#define MAGNOLIAREEL_RELAY_CORE_HEDGE_BUDGET_H_

#include <algorithm>

namespace magnoliareel {

/** Limits the reads that are sent twice to a fraction of the statements that
    succeed. A lost reply is rare, while an endpoint that is slow because of its
    load would get twice the load. */
class HedgeBudget {
 public:
  /** Records a statement that succeeded. */
  void RecordSuccess() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerSuccess);
  }
  /** Takes the permission to send one read a second time.

      @returns false if the budget is used up */
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kTokensPerSuccess = 0.05;
  static constexpr double kMaxTokens = 5;

  double tokens_ = kMaxTokens;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_HEDGE_BUDGET_H_
