#ifndef MAGNOLIAREEL_TESTS_INTERLEAVINGS_SEARCH_VM_H_
#define MAGNOLIAREEL_TESTS_INTERLEAVINGS_SEARCH_VM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/control.h"
#include "coordination/tests/fake_duty_row_codec.h"
#include "relay/relay.h"
#include "tests/interleavings/state_hash.h"

namespace magnoliareel {

class SearchWorld;

/** Store, endpoints and platform as one VM reaches them.

    Keeps a hash of what has come in and when. The state of the decision code is
    a function of that, so two runs whose VMs have equal hashes continue alike.
*/
class VmServices {
 public:
  /** @param world  must outlive this object
      @param index  number of the VM */
  VmServices(SearchWorld& world, size_t index) : world_(world), index_(index) {}

  // RowStore
  void List(std::string_view, std::string_view, const RowsCompletion&) {}
  void Get(std::string_view, std::string_view key, RowsCompletion done);
  void Follow(std::string_view, uint64_t, Duration, const RowsCompletion&) {}
  void Poll(std::string_view, uint64_t, const RowsCompletion&) {}
  void WriteIf(std::string_view,
               std::string_view,
               std::string_view value,
               uint64_t version,
               RowsCompletion done);
  void Put(std::string_view,
           std::string_view,
           std::string_view,
           const RowsCompletion&) {}
  // EndpointCommandSender
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& command,
            Duration timeout,
            EndpointCommandCompletion done);
  // PromotionSender
  void Promote(const ServiceId& service,
               const EndpointId& endpoint,
               uint64_t fencing_token,
               std::function<void(std::error_code)> done);

  /** Adds something that the VM received to the hash. */
  void RecordInput(uint64_t content);
  /** Calls a function: now, or once the VM no longer stands still; never if it
      has ended. */
  void Deliver(std::function<void()> task);
  /** The VM stands still until then. */
  void FreezeUntil(TimePoint time) { frozen_until_ = time; }
  /** Ends the VM; nothing reaches it any more. */
  void Kill() { is_alive_ = false; }
  /** @returns a hash of everything that has come in */
  uint64_t GetHistory() const { return history_.Get(); }

 private:
  SearchWorld& world_;
  const size_t index_;
  bool is_alive_ = true;
  TimePoint frozen_until_;
  StateHash history_;
};

/** One VM: the product's FailoverControl, and a fake of the node around it.

    Reaches everything else through the SearchWorld.
*/
class SearchVm {
 public:
  /** @param world  must outlive the VM
      @param index  number of the VM */
  SearchVm(SearchWorld& world, size_t index);
  SearchVm(const SearchVm&) = delete;
  SearchVm& operator=(const SearchVm&) = delete;

  // FailoverDelegate
  TimePoint Now() const;
  void After(Duration delay, std::function<void()> task);
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  void HoldCommits(const ServiceId& service, const EndpointId& successor);
  void ReleaseCommits(const ServiceId& service);
  void SendHeartbeats();
  bool IsStoreConnected() const { return true; }
  bool IsListed(const EndpointId& endpoint) const;
  void ReadDirectory(const std::function<void(std::error_code)>& done);
  void ForwardCommand(const SocketAddress& to, const ForwardedCommand& command);
  void AnswerForwardedCommand(const SocketAddress& to,
                              const ForwardedCommandResponse& response);

  void QueryAnsweredCommit(
      const ServiceId& service,
      const std::function<void(std::optional<LogPoint>)>& done);
  void SendAnsweredCommitQuery(const SocketAddress& to,
                               const AnsweredCommitQuery& query);
  void SendAnsweredCommitResponse(const SocketAddress& to,
                                  const AnsweredCommitResponse& response);

  /** Records that the VM sends a commit to an endpoint. */
  void RecordSentCommit(uint32_t commit, const EndpointId& endpoint);
  /** Records the answer to such a commit.

      @param commit  the commit, which has succeeded
      @param end     end of the log in the answer */
  void RecordAnswer(uint32_t commit, LogPoint end);
  /** Adds what the VM knows of its commits to a hash. */
  void AddAnswers(StateHash& hash) const;
  /** Handles a command of the other VM to an endpoint. */
  void HandleForwardedCommand(const ForwardedCommand& command);
  /** Handles the response of the other VM to such a command. */
  void HandleForwardedCommandResponse(const ForwardedCommandResponse& response);
  /** Applies a listing of the directory. */
  void Apply(const FleetView& view);
  /** Handles a heartbeat of the other VM. */
  void HandleHeartbeat(const Heartbeat& heartbeat,
                       std::span<const DepartureNotice> departures);
  /** @returns the heartbeat that is due */
  Heartbeat MakeHeartbeat();
  /** @returns what the heartbeat tells of departed endpoints */
  std::vector<DepartureNotice> ListDepartures() const {
    return failover_.ListDepartureNotices();
  }
  /** Does what the node does in each heartbeat period. */
  void HandlePeriod();
  /** Reports what statements of the VM's callers observe. */
  void ObserveTraffic();
  /** Reports the primary, as a traffic thread does with the first reply that it
      receives from the service. */
  void ReceiveFirstReply();
  /** Ends the VM; nothing reaches it any more. */
  void Kill() { services_.Kill(); }
  /** @see VmServices */
  void Deliver(std::function<void()> task) {
    services_.Deliver(std::move(task));
  }
  /** The VM stands still until then. */
  void FreezeUntil(TimePoint time) { services_.FreezeUntil(time); }
  /** @returns whether the VM sends commits to the endpoint */
  bool MayCommitAt(const EndpointId& endpoint) const {
    return !hold_ || hold_->successor == endpoint || Now() >= hold_->until;
  }

  /** @returns a hash of everything that has come in */
  uint64_t GetHistory() const { return services_.GetHistory(); }
  /** @returns the VM's address at its peer */
  const SocketAddress& GetAddress() const { return address_; }

 private:
  using Failover = FailoverControl<VmServices,
                                   FakeDutyRowCodec,
                                   VmServices,
                                   VmServices,
                                   SearchVm>;

  /** The VM sends commits to no endpoint but the successor. */
  struct CommitHold {
    EndpointId successor;
    TimePoint until;
  };

  void Report(EndpointCondition condition);
  void RecordConfirmed(const EndpointId& id, Term term);
  /** Sends statements to an endpoint.

      @returns whether it leads and is reached */
  bool UsePrimary(const EndpointId& id);

  SearchWorld& world_;
  const size_t index_;
  const SocketAddress address_;
  VmServices services_;
  PeerGroup peers_;
  Failover failover_;
  FleetView view_;
  bool heartbeat_scheduled_ = false;
  /** Endpoint that the VM's statements use as primary. */
  EndpointId target_;
  /** The announced primary is used until then, though it does not lead yet. */
  TimePoint keeps_target_until_;
  /** Highest term that was reported. */
  Term confirmed_term_;
  std::optional<CommitHold> hold_;
  /** End of the log in the latest reply of an endpoint that leads. */
  std::pair<EndpointId, LogPoint> known_end_;
  /** That end as of the time at which a commit was sent, for each commit
     without an answer. */
  std::map<uint32_t, LogPoint> ends_before_;
  CommitLossDetector answered_commits_;
  TimePoint next_report_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_INTERLEAVINGS_SEARCH_VM_H_
