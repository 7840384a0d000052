#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_ANSWERED_COMMITS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_ANSWERED_COMMITS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "control/peers/peer_group.h"
#include "core/core.h"
#include "directory/directory.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Interval at which VMs that have not responded are asked again, because
    datagrams may be lost. */
inline constexpr Duration kAnsweredCommitRetryInterval =
    std::chrono::milliseconds(100);
/** Longest wait for the other VMs. One that does not respond may know of a
    newer commit. */
inline constexpr Duration kAnsweredCommitTimeout = kEndpointCommandTimeout;

/** The newest commit of a service that a VM has answered with success. */
struct AnsweredCommit {
  VmId vm;
  /** Lowest point that the commit can have. */
  LogPoint point;

  bool operator==(const AnsweredCommit&) const = default;
};

/** Asks another VM for its newest answered commit of a service. It may arrive
    more than once. */
struct AnsweredCommitQuery {
  /** Number that the sender assigns, to match the response. */
  uint64_t id = 0;
  /** Address for the response. */
  SocketAddress reply_to;
  ServiceId service;

  bool operator==(const AnsweredCommitQuery&) const = default;
};

/** Answers an AnsweredCommitQuery. */
struct AnsweredCommitResponse {
  /** @see AnsweredCommitQuery::id */
  uint64_t id = 0;
  /** The VM that sends the response. */
  VmId vm;
  /** @see AnsweredCommit::point; none if the VM knows of no commit */
  std::optional<LogPoint> point;

  bool operator==(const AnsweredCommitResponse&) const = default;
};

/** Reaches the traffic threads of this VM and the control threads of others.
    Messages between VMs may be lost, late or repeated. */
template <class N>
concept AnsweredCommitChannel =
    requires(N& channel,
             const ServiceId& service,
             std::function<void(std::optional<LogPoint>)> done,
             const SocketAddress& to,
             const AnsweredCommitQuery& query,
             const AnsweredCommitResponse& response) {
  /** Calls the function with AnsweredCommit::point of this VM. */
  channel.QueryAnsweredCommit(service, done);
  channel.SendAnsweredCommitQuery(to, query);
  channel.SendAnsweredCommitResponse(to, response);
};

/** Finds the newest commit of a service that the running VMs have answered.

    @tparam T  provides Now() and After(), and is an AnsweredCommitChannel
*/
template <class T>
class AnsweredCommitSurvey {
 public:
  /** Receives the newest commit; none if no VM knows of one. */
  using Completion = std::function<void(const std::optional<AnsweredCommit>&)>;

  /** @param delegate  must outlive the survey
      @param peers     the other VMs; must outlive the survey
      @param self      this VM
  */
  AnsweredCommitSurvey(T& delegate, const PeerGroup& peers, VmId self)
      : delegate_(delegate),
        peers_(peers),
        self_(std::move(self)),
        // Differs from the numbers of an earlier process at the same address,
        // whose responses may still arrive.
        next_id_(
            static_cast<uint64_t>(delegate.Now().time_since_epoch().count())) {}

  /** Asks this VM's traffic threads and all other VMs.

      @param service  the service
      @param done     called once this VM has answered and the others have, or
                      kAnsweredCommitTimeout has passed
  */
  void Find(const ServiceId& service, Completion done) {
    const uint64_t id = next_id_++;
    Call& call = calls_[id];
    call.service = service;
    call.done = std::move(done);
    for (const PeerGroup::Peer* it : peers_.ListRunning(delegate_.Now())) {
      call.waiting.push_back({it->last.vm, it->last.address});
    }
    SendToWaiting(id);
    delegate_.After(kAnsweredCommitTimeout, [this, id] {
      if (const auto it = calls_.find(id); it != calls_.end()) {
        it->second.waiting.clear();
        FinishIfAnswered(id);
      }
    });
    delegate_.QueryAnsweredCommit(
        service, [this, id](const std::optional<LogPoint>& point) {
          calls_[id].has_own_answer = true;
          RecordAnswer(id, self_, point);
        });
  }

  /** Answers another VM. */
  void HandleQuery(const AnsweredCommitQuery& query) {
    delegate_.QueryAnsweredCommit(
        query.service, [this, query](const std::optional<LogPoint>& point) {
          delegate_.SendAnsweredCommitResponse(query.reply_to,
                                               {query.id, self_, point});
        });
  }

  /** Handles another VM's response; ignored if its query has ended. */
  void HandleResponse(const AnsweredCommitResponse& response) {
    const auto it = calls_.find(response.id);
    if (it != calls_.end() &&
        std::erase_if(it->second.waiting, [&](const Asked& asked) {
          return asked.vm == response.vm;
        }) > 0) {
      RecordAnswer(response.id, response.vm, response.point);
    }
  }

 private:
  /** A VM that has not responded. */
  struct Asked {
    VmId vm;
    SocketAddress address;
  };
  struct Call {
    ServiceId service;
    Completion done;
    bool has_own_answer = false;
    std::vector<Asked> waiting;
    std::optional<AnsweredCommit> newest;
  };

  void SendToWaiting(uint64_t id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.waiting.empty()) {
      return;
    }
    for (const Asked& asked : it->second.waiting) {
      delegate_.SendAnsweredCommitQuery(
          asked.address, {id, peers_.GetSelfAddress(), it->second.service});
    }
    delegate_.After(kAnsweredCommitRetryInterval,
                    [this, id] { SendToWaiting(id); });
  }

  void RecordAnswer(uint64_t id,
                    const VmId& vm,
                    const std::optional<LogPoint>& point) {
    std::optional<AnsweredCommit>& newest = calls_[id].newest;
    if (point && (!newest || *point > newest->point)) {
      newest = {vm, *point};
    }
    FinishIfAnswered(id);
  }

  void FinishIfAnswered(uint64_t id) {
    const auto it = calls_.find(id);
    if (!it->second.has_own_answer || !it->second.waiting.empty()) {
      return;
    }
    const auto node = calls_.extract(it);
    node.mapped().done(node.mapped().newest);
  }

  T& delegate_;
  const PeerGroup& peers_;
  const VmId self_;
  std::map<uint64_t, Call> calls_;
  uint64_t next_id_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_ANSWERED_COMMITS_H_
