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

/** Result of a promotion. */
struct PromotionResult {
  /** Empty if the group has a new primary; otherwise kNoMajority, kStaleTerm or
      the error of the promote call. */
  std::error_code ec;
  /** The chosen endpoint; empty if none was chosen. */
  EndpointId primary;
  /** The term of the attempt, whether or not the attempt succeeded. */
  Term term;
};

/** One attempt to promote a new primary. A majority of the group adopts the
    term and refuses older terms from then on; then the endpoint that
    ChooseSuccessor() selects is promoted.

    Runs on the control thread and keeps itself alive until it has ended.

    @tparam E  executor of the control thread
    @tparam L  link that calls the endpoints

    @see ChooseSuccessor, GroupDriver
*/
template <Executor E, EndpointLink L>
class Promotion : public std::enable_shared_from_this<Promotion<E, L>> {
 public:
  /** Longest wait for the answer of an endpoint. */
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  /** Wait for the remaining endpoints once a majority has adopted the term. */
  static constexpr Duration kStragglerGracePeriod =
      std::chrono::milliseconds(60);

  /** Receives the result of the promotion. */
  using Completion = std::function<void(PromotionResult)>;

  /** @param executor   executor of the control thread
      @param link       link that calls the endpoints
      @param endpoints  all endpoints of the group
      @param avoid      endpoint to be replaced; empty if there is none
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

  /** Sends a request to adopt the term to every endpoint. */
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
    ++answer_count_;
    if (has_chosen_) {
      return;
    }
    if (!reply.ec && reply.answer.ec == Error::kStaleTerm) {
      is_term_stale_ = true;
    }
    if (!reply.ec && !reply.answer.ec) {
      adoptions_.push_back({endpoint, reply.answer.report});
      if (adoptions_.size() == endpoints_.size() / 2 + 1) {
        executor_.After(
            kStragglerGracePeriod,
            [self = this->shared_from_this()] { self->PromoteSuccessor(); });
      }
    }
    if (answer_count_ == endpoints_.size()) {
      PromoteSuccessor();
    }
  }

  void PromoteSuccessor() {
    if (std::exchange(has_chosen_, true)) {
      return;
    }
    const auto successor =
        ChooseSuccessor(adoptions_, endpoints_.size(), avoid_);
    if (!successor) {
      done_(
          {is_term_stale_ ? Error::kStaleTerm : Error::kNoMajority, {}, term_});
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
  std::vector<TermAdoption> adoptions_;
  size_t answer_count_ = 0;
  bool has_chosen_ = false;
  bool is_term_stale_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_PROMOTION_PROMOTION_H_
