#ifndef MAGNOLIAREEL_FAILOVER_PROMOTION_PROMOTION_H_
#define MAGNOLIAREEL_FAILOVER_PROMOTION_PROMOTION_H_

#include <functional>
#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "failover/endpoint_link.h"
#include "failover/promotion/choose_successor.h"

namespace magnoliareel {

/** How a promotion ended. */
struct PromotionResult {
  /** Empty if the group has a new primary; kNoMajority, kStaleTerm, or the
      error of the call that promotes. */
  std::error_code ec;
  /** The new primary. */
  EndpointId primary;
  /** The term that was used, whether or not it succeeded. */
  Term term;
};

/** One attempt to put a new primary into office: a majority adopts the term
    and from then refuses older ones, then the most advanced is promoted.

    Runs on the control thread and keeps itself alive until it has ended.

    @see ChooseSuccessor, GroupDriver
*/
template <Executor E, EndpointLink L>
class Promotion : public std::enable_shared_from_this<Promotion<E, L>> {
 public:
  /** Longest time for an endpoint to answer. */
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  /** Time to wait for the rest once a majority has adopted the term. */
  static constexpr Duration kStragglerGracePeriod =
      std::chrono::milliseconds(60);

  /** Receives the end. */
  using Completion = std::function<void(PromotionResult)>;

  /** @param executor   the control thread
      @param link       calls the endpoints
      @param endpoints  all endpoints of the group
      @param avoid      endpoint to be replaced; empty if it makes no difference
      @param term       a term granted to this process and not used before
      @param done       called once
  */
  Promotion(E& executor,
            L& link,
            std::span<const EndpointId> endpoints,
            EndpointId avoid,
            Term term,
            Completion done)
      : executor_(executor),
        link_(link),
        endpoints_(endpoints.begin(), endpoints.end()),
        avoid_(std::move(avoid)),
        term_(term),
        done_(std::move(done)) {}

  /** Asks every endpoint to adopt the term. */
  void Start() {
    for (const EndpointId& it : endpoints_) {
      EndpointCall call;
      call.verb = EndpointVerb::kAdopt;
      call.term = term_;
      link_.Call(it, std::move(call), kCallTimeout,
                 [self = this->shared_from_this(),
                  endpoint = it](EndpointReply reply) {
                   self->HandleAdoptionReply(endpoint, reply);
                 });
    }
  }

 private:
  void HandleAdoptionReply(const EndpointId& endpoint,
                           const EndpointReply& reply) {
    ++answered_;
    if (is_chosen_) {
      return;
    }
    if (!reply.ec && reply.answer.ec == Error::kStaleTerm) {
      is_superseded_ = true;
    }
    if (!reply.ec && !reply.answer.ec) {
      adopters_.push_back({endpoint, reply.answer.report});
      if (adopters_.size() == endpoints_.size() / 2 + 1) {
        executor_.After(kStragglerGracePeriod,
                        [self = this->shared_from_this()] { self->Choose(); });
      }
    }
    if (answered_ == endpoints_.size()) {
      Choose();
    }
  }

  void Choose() {
    if (std::exchange(is_chosen_, true)) {
      return;
    }
    const auto successor =
        ChooseSuccessor(adopters_, endpoints_.size(), avoid_);
    if (!successor) {
      done_(
          {is_superseded_ ? Error::kStaleTerm : Error::kNoMajority, {}, term_});
      return;
    }
    EndpointCall call;
    call.verb = EndpointVerb::kPromote;
    call.term = term_;
    link_.Call(*successor, std::move(call), kCallTimeout,
               [self = this->shared_from_this(),
                primary = *successor](const EndpointReply& reply) {
                 const std::error_code ec =
                     reply.ec ? reply.ec : reply.answer.ec;
                 self->done_({ec, primary, self->term_});
               });
  }

  E& executor_;
  L& link_;
  const std::vector<EndpointId> endpoints_;
  const EndpointId avoid_;
  const Term term_;
  const Completion done_;
  std::vector<TermAdoption> adopters_;
  size_t answered_ = 0;
  bool is_chosen_ = false;
  bool is_superseded_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_PROMOTION_PROMOTION_H_
