#ifndef MAGNOLIAREEL_LINKS_DOCUMENT_FORWARDER_H_
#define MAGNOLIAREEL_LINKS_DOCUMENT_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "codec/codec.h"
#include "core/core.h"
#include "links/rpc_link.h"

namespace magnoliareel {

/** Sends each new configuration document to one pooler, so that a process that
    starts while the platform is unavailable learns it from there.

    @tparam E  executor of the control thread
    @see PeerDocumentPoller
*/
template <Executor E>
class DocumentForwarder {
 public:
  /** Longest wait for the answer of the pooler. */
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
  /** Pause before a document that the pooler has not confirmed is sent again.
   */
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
  /** Number of times that a document is sent. Later the pooler is expected to
      have learned it itself. */
  static constexpr int kMaxAttempts = 20;

  /** @param executor  executor of the control thread; must outlive this object
      @param link      link to the pooler; must outlive this object
  */
  DocumentForwarder(E& executor, RpcLink<E>& link)
      : executor_(executor), link_(link) {}

  /** Sends a document, again if necessary, until the pooler has confirmed it or
      another document is sent.

      @param address  "host:port" of the pooler
      @param offer    document to send
      @param done     called once, after the first answer or its timeout
  */
  void Forward(std::string address,
               DocumentOffer offer,
               std::function<void()> done) {
    address_ = std::move(address);
    offer_ = std::move(offer);
    attempt_count_ = 0;
    Send(std::move(done));
  }

 private:
  void Send(std::function<void()> done) {
    ++attempt_count_;
    link_.Call(address_, "offer_document", EncodeDocumentOffer(offer_),
               kRequestTimeout,
               [this, version = offer_.version,
                done = std::move(done)](const RpcReply& reply) {
                 done();
                 if (reply.ec && version == offer_.version &&
                     attempt_count_ < kMaxAttempts) {
                   ScheduleRetry(version);
                 }
               });
  }

  void ScheduleRetry(uint64_t version) {
    executor_.After(kRetryInterval, [this, version] {
      if (version == offer_.version) {
        Send([] {});
      }
    });
  }

  E& executor_;
  RpcLink<E>& link_;
  std::string address_;
  DocumentOffer offer_;
  int attempt_count_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_DOCUMENT_FORWARDER_H_
