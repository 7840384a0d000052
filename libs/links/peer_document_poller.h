#ifndef MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_
#define MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "codec/codec.h"
#include "core/core.h"
#include "links/rpc_link.h"

namespace magnoliareel {

/** Polls the poolers of other VMs for the configuration document while the
    platform is unavailable, so that a new VM can work without the platform.

    The first poll of an outage queries several peers and passes on the newest
    document, because a peer may not have learned the latest one. Later polls
    query one randomly chosen peer.

    @tparam E  executor of the control thread
    @see DocumentForwarder
*/
template <Executor E>
class PeerDocumentPoller {
 public:
  /** Time between two polls. */
  static constexpr Duration kPollInterval = std::chrono::milliseconds(500);
  /** Longest wait for the answer of a peer. */
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
  /** Number of peers that the first poll of an outage queries. */
  static constexpr size_t kMaxFirstPeers = 8;

  /** Receives the document of a peer. */
  using OfferCallback = std::function<void(const DocumentOffer&)>;

  /** Constructs a poller, which is disabled until SetEnabled() is called. The
      documents of peers may be older than the platform's.

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
  void SetEnabled(bool is_enabled) {
    if (is_enabled && !is_enabled_) {
      peers_to_query_ = kMaxFirstPeers;
    }
    is_enabled_ = is_enabled;
  }

 private:
  /** The newest document of the peers that one poll has queried. */
  struct PollResult {
    DocumentOffer newest;
    size_t awaited = 0;
  };

  void Poll() {
    if (is_enabled_ && !peers_.empty()) {
      std::shuffle(peers_.begin(), peers_.end(), random_);
      const size_t count = std::min(peers_to_query_, peers_.size());
      peers_to_query_ = 1;
      const auto result = std::make_shared<PollResult>();
      result->awaited = count;
      for (const std::string& it : std::span(peers_).first(count)) {
        RequestDocument(it, result);
      }
    }
    executor_.After(kPollInterval, [this] { Poll(); });
  }

  void RequestDocument(const std::string& peer,
                       const std::shared_ptr<PollResult>& result) {
    link_.Call(
        peer, "document", Json::Value(Json::objectValue), kRequestTimeout,
        [this, result](const RpcReply& reply) {
          Findings findings;
          DocumentOffer offer =
              reply.ec ? DocumentOffer{}
                       : DecodeDocumentOffer(reply.result, findings);
          if (findings.IsEmpty() && offer.version > result->newest.version) {
            result->newest = std::move(offer);
          }
          if (--result->awaited == 0 && result->newest.version > 0) {
            on_offer_(result->newest);
          }
        });
  }

  E& executor_;
  RpcLink<E>& link_;
  ProcessRandom random_;
  const OfferCallback on_offer_;
  std::vector<std::string> peers_;
  size_t peers_to_query_ = 1;
  bool is_enabled_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_
