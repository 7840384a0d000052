#ifndef MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_
#define MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "codec/codec.h"
#include "core/core.h"
#include "links/rpc_link.h"

namespace magnoliareel {

/** Polls the poolers of other VMs for the configuration document while the
    platform is unavailable, so that a new VM can work without the platform.

    Every poll queries one randomly chosen peer.

    @tparam E  executor of the control thread
*/
template <Executor E>
class PeerDocumentPoller {
 public:
  /** Time between two polls. */
  static constexpr Duration kPollInterval = std::chrono::milliseconds(500);
  /** Longest wait for the answer of a peer. */
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);

  /** Receives the document of a peer. */
  using OfferCallback = std::function<void(const DocumentOffer&)>;

  /** Constructs a poller, which is enabled from the start.

      @param executor  executor of the control thread; must outlive the poller
      @param link      link to the peers; must outlive the poller
      @param seed      seed for the random choice of peers
      @param on_offer  receives the documents
  */
  PeerDocumentPoller(E& executor,
                     RpcLink<E>& link,
                     uint64_t seed,
                     OfferCallback on_offer)
      : executor_(executor),
        link_(link),
        random_(seed),
        on_offer_(std::move(on_offer)) {}

  /** Starts to poll. Polls are skipped while the poller is disabled. */
  void Start() { Poll(); }

  /** Sets the peers.

      @param peers  "host:port" of the peers' poolers
  */
  void SetPeers(std::vector<std::string> peers) { peers_ = std::move(peers); }

  /** Enables or disables polling.

      @param is_enabled  true while the platform is unavailable
  */
  void SetEnabled(bool is_enabled) { is_enabled_ = is_enabled; }

 private:
  void Poll() {
    if (is_enabled_ && !peers_.empty()) {
      RequestDocument(peers_[random_() % peers_.size()]);
    }
    executor_.After(kPollInterval, [this] { Poll(); });
  }

  void RequestDocument(const std::string& peer) {
    link_.Call(peer, "document", Json::Value(Json::objectValue),
               kRequestTimeout, [this](const RpcReply& reply) {
                 Findings findings;
                 if (reply.ec) {
                   return;
                 }
                 const DocumentOffer offer =
                     DecodeDocumentOffer(reply.result, findings);
                 if (findings.IsEmpty() && offer.version > 0) {
                   on_offer_(offer);
                 }
               });
  }

  E& executor_;
  RpcLink<E>& link_;
  ProcessRandom random_;
  const OfferCallback on_offer_;
  std::vector<std::string> peers_;
  bool is_enabled_ = true;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_
