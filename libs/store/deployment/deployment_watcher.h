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

/** What a watcher tells its process about; every member is set. */
struct DeploymentEvents {
  /** A document or a list of VMs took effect. */
  std::function<void(std::shared_ptr<const Deployment>)> on_change;
  /** A document has findings and is not used. */
  std::function<void(uint64_t version, const Findings&)> on_rejected;
  /** The platform began or ceased to answer. */
  std::function<void(std::error_code)> on_store_status;
};

/** Where the document and the list of VMs come from; calls back exactly once,
    on the control thread.

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

/** Follows the document and the list of VMs that are in force.

    Only a document of a higher version is ever taken over. What was learned is
    kept while the platform does not answer. The spacing of the questions grows
    with the number of VMs, so the platform's load is bounded.

    @tparam E  the control thread
    @tparam S  the platform
*/
template <Executor E, DeploymentSource S>
class DeploymentWatcher {
 public:
  /** Least time between two questions. */
  static constexpr Duration kMinPollInterval = std::chrono::milliseconds(500);
  /** Greatest time between two questions. */
  static constexpr Duration kMaxPollInterval = std::chrono::milliseconds(5000);
  /** Spacing for each VM in use. */
  static constexpr Duration kPollIntervalPerVm =
      std::chrono::microseconds(3300);

  /** @param executor  the control thread
      @param platform  the platform
      @param events    what to report
  */
  DeploymentWatcher(E& executor, S& platform, DeploymentEvents events)
      : executor_(executor), platform_(platform), events_(std::move(events)) {}

  /** Begins to watch; called on the control thread. */
  void Start() { RequestVms(); }

  /** Takes over a document that a peer holds.

      @param version  its version
      @param text     its bytes
  */
  void Offer(uint64_t version, const std::string& text) {
    if (version <= deployment_.version) {
      return;
    }
    Findings findings;
    Document document = ParseDocument(text, findings);
    if (!findings.IsEmpty()) {
      events_.on_rejected(version, findings);
      return;
    }
    deployment_.version = version;
    deployment_.hash = HashSha256(text);
    deployment_.document = std::move(document);
    text_ = text;
    Publish();
  }

  /** @returns bytes of the document in force */
  const std::string& GetText() const { return text_; }
  /** @returns version of the document in force */
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
    const Duration spacing =
        kPollIntervalPerVm * static_cast<int64_t>(deployment_.vms.size());
    executor_.After(std::clamp(spacing, kMinPollInterval, kMaxPollInterval),
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
  std::error_code last_ec_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STORE_DEPLOYMENT_DEPLOYMENT_WATCHER_H_
