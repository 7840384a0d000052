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

/** Asks other VMs' poolers for the document in force while the platform does
    not answer, so that a fresh VM can work without it.

    @tparam E  the control thread
*/
template <Executor E>
class PeerDocumentPoller {
 public:
  /** Time between two questions. */
  static constexpr Duration kPollInterval = std::chrono::milliseconds(500);
  /** Longest time for a peer to answer. */
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);

  /** Receives a document that a peer holds. */
  using Offer = std::function<void(const DocumentOffer&)>;

  /** @param executor  the control thread
      @param link      the way to peers
      @param seed      of the choice of peers
      @param offer     receives documents
  */
  PeerDocumentPoller(E& executor, RpcLink<E>& link, uint64_t seed, Offer offer)
      : executor_(executor),
        link_(link),
        random_(seed),
        offer_(std::move(offer)) {}

  /** Begins to ask, whenever it is wanted. */
  void Start() { Tick(); }

  /** Sets the peers. @param peers  "host:port" of their poolers */
  void SetPeers(std::vector<std::string> peers) { peers_ = std::move(peers); }

  /** Sets whether to ask. @param is_enabled  true while the platform is silent
   */
  void SetEnabled(bool is_enabled) { is_enabled_ = is_enabled; }

 private:
  void Tick() {
    if (is_enabled_ && !peers_.empty()) {
      Ask(peers_[random_() % peers_.size()]);
    }
    executor_.After(kPollInterval, [this] { Tick(); });
  }

  void Ask(const std::string& peer) {
    link_.Call(peer, "document", Json::Value(Json::objectValue),
               kRequestTimeout, [this](const RpcReply& reply) {
                 Findings findings;
                 if (reply.ec) {
                   return;
                 }
                 const DocumentOffer offer =
                     DecodeDocumentOffer(reply.result, findings);
                 if (findings.IsEmpty() && offer.version > 0) {
                   offer_(offer);
                 }
               });
  }

  E& executor_;
  RpcLink<E>& link_;
  ProcessRandom random_;
  const Offer offer_;
  std::vector<std::string> peers_;
  bool is_enabled_ = true;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_PEER_DOCUMENT_POLLER_H_
