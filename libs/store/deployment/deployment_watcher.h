#ifndef MAGNOLIAREEL_STORE_DEPLOYMENT_DEPLOYMENT_WATCHER_H_
#define MAGNOLIAREEL_STORE_DEPLOYMENT_DEPLOYMENT_WATCHER_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "codec/codec.h"
#include "core/core.h"
#include "membership/membership.h"
#include "seal/seal.h"
#include "store/client/platform_client.h"

namespace magnoliareel {

/** Callbacks for the events of a DeploymentWatcher; every member is set. */
struct DeploymentEvents {
  /** Called when a document or a list of VMs takes effect. */
  std::function<void(std::shared_ptr<const Deployment>)> on_change;
  /** Called when a document is rejected because of its findings. */
  std::function<void(uint64_t version, const Findings&)> on_rejected;
  /** Called when the result of calls to the platform changes: with the error
      when calls begin to fail, with an empty code when they succeed again. */
  std::function<void(std::error_code)> on_store_status;
};

/** Concept of a source of the configuration document and the list of VMs. Each
    completion callback is called exactly once, on the control thread.

    @see PlatformClient
*/
template <class T>
concept DeploymentSource =
    requires(T& source,
             const std::string& name,
             std::function<void(RowReply)> row,
             std::function<void(PlatformReply<std::string>)> object,
             std::function<void(PlatformReply<std::vector<VmEntry>>)> vms) {
  source.GetRow(name, row);
  source.GetObject(name, object);
  source.ListVms(vms);
  { source.GetKeys() } -> std::convertible_to<const PlatformKeys&>;
};

/** Polls the platform for the configuration document and the list of VMs in
    force.

    A document replaces the current one only if its version is higher. The last
    document and list of VMs remain in force while the platform is unavailable.
    The poll interval grows with the number of VMs, so that the load on the
    platform is bounded.

    @tparam E  executor of the control thread
    @tparam S  platform
*/
template <Executor E, DeploymentSource S>
class DeploymentWatcher {
 public:
  /** Shortest time between two polls. */
  static constexpr Duration kMinPollInterval = std::chrono::milliseconds(500);
  /** Longest time between two polls. */
  static constexpr Duration kMaxPollInterval = std::chrono::milliseconds(5000);
  /** Time between two polls for each VM in the list. */
  static constexpr Duration kPollIntervalPerVm =
      std::chrono::microseconds(3300);

  /** Constructs a watcher.

      @param executor  executor of the control thread; must outlive the watcher
      @param platform  source to poll; must outlive the watcher
      @param events    callbacks
  */
  DeploymentWatcher(E& executor, S& platform, DeploymentEvents events)
      : executor_(executor), platform_(platform), events_(std::move(events)) {}

  /** Starts to poll. Call it once, on the control thread. */
  void Start() { RequestVms(); }

  /** Puts a document in force if its version is higher than the current one and
      the document has no findings. A rejected document is reported once.

      @param version  version of the document
      @param text     document as JSON
  */
  void Offer(uint64_t version, const std::string& text) {
    if (version <= deployment_.version) {
      return;
    }
    std::string hash = HashSha256(text);
    if (version == rejected_version_ && hash == rejected_hash_) {
      return;
    }
    Findings findings;
    Document document = ParseDocument(text, findings);
    if (!findings.IsEmpty()) {
      rejected_version_ = version;
      rejected_hash_ = std::move(hash);
      events_.on_rejected(version, findings);
      return;
    }
    deployment_.version = version;
    deployment_.hash = std::move(hash);
    deployment_.document = std::move(document);
    text_ = text;
    Publish();
  }

  /** @returns text of the document in force; empty if there is none */
  const std::string& GetText() const { return text_; }
  /** @returns version of the document in force; 0 if there is none */
  uint64_t GetVersion() const { return deployment_.version; }

 private:
  void RequestVms() {
    platform_.ListVms([this](PlatformReply<std::vector<VmEntry>> reply) {
      ReportStoreStatus(reply.ec);
      if (!reply.ec && reply.value != deployment_.vms) {
        deployment_.vms = std::move(reply.value);
        Publish();
      }
      RequestHead();
    });
  }

  void RequestHead() {
    platform_.GetRow(
        platform_.GetKeys().GetHead(), [this](const RowReply& reply) {
          ReportStoreStatus(reply.ec);
          Findings findings;
          const DocumentHead head =
              reply.ec || reply.row.value.empty()
                  ? DocumentHead{}
                  : ParseDocumentHead(reply.row.value, findings);
          if (findings.IsEmpty() && head.version > deployment_.version &&
              head.version != last_downloaded_version_) {
            RequestDocument(head);
          } else {
            ScheduleNextPoll();
          }
        });
  }

  void RequestDocument(const DocumentHead& head) {
    platform_.GetObject(
        head.hash, [this, head](const PlatformReply<std::string>& reply) {
          ReportStoreStatus(reply.ec);
          if (!reply.ec && HashSha256(reply.value) == head.hash) {
            Offer(head.version, reply.value);
            last_downloaded_version_ = head.version;
          }
          ScheduleNextPoll();
        });
  }

  void ScheduleNextPoll() {
    const Duration interval =
        kPollIntervalPerVm * static_cast<int64_t>(deployment_.vms.size());
    executor_.After(std::clamp(interval, kMinPollInterval, kMaxPollInterval),
                    [this] { RequestVms(); });
  }

  void ReportStoreStatus(std::error_code ec) {
    if (ec != last_ec_) {
      last_ec_ = ec;
      events_.on_store_status(ec);
    }
  }

  void Publish() {
    deployment_.ownership = Ownership(deployment_.document, deployment_.vms);
    events_.on_change(std::make_shared<const Deployment>(deployment_));
  }

  E& executor_;
  S& platform_;
  const DeploymentEvents events_;
  Deployment deployment_;
  std::string text_;
  uint64_t last_downloaded_version_ = 0;
  uint64_t rejected_version_ = 0;
  std::string rejected_hash_;
  std::error_code last_ec_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STORE_DEPLOYMENT_DEPLOYMENT_WATCHER_H_
