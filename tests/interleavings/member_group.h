#ifndef MAGNOLIAREEL_TESTS_INTERLEAVINGS_MEMBER_GROUP_H_
#define MAGNOLIAREEL_TESTS_INTERLEAVINGS_MEMBER_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/control.h"

namespace magnoliareel {

/** A commit of the group. */
struct GroupCommit {
  Term term;
  /** A VM could tell its caller that the commit succeeded. */
  bool acknowledged = false;
  /** VMs that have sent it and can still receive its answer, a bit for each. */
  uint32_t senders = 0;
};

/** State of one endpoint of the group. */
struct GroupMember {
  EndpointId id;
  bool is_running = true;
  /** Its log is lost for good. */
  bool has_left = false;
  bool is_primary = false;
  bool is_draining = false;
  /** Receives nothing from the primary. */
  bool is_deaf = false;
  Term term{1};
  /** Term in which it led last; none if it never did. */
  Term led_term;
  Term paused_at;
  /** Indexes of commits. */
  std::vector<uint32_t> log;
};

/** The endpoints of one service, which replicate a log: the rules of the page
    of the databases, without connections, slots and times.

    A replica receives a commit at once. A commit is acknowledged as soon as
    one running replica has received it, the primary still leads and a VM
    that has sent it reaches it.
*/
class MemberGroup {
 public:
  /** Creates a primary with the given number of replicas. */
  explicit MemberGroup(size_t replicas);

  /** @returns the members, in the order in which they were added */
  const std::vector<GroupMember>& GetMembers() const { return members_; }
  /** @returns the member, for changes of its state */
  GroupMember& Edit(size_t member) { return members_[member]; }
  /** @returns index of the member that leads and runs; none if there is none */
  std::optional<size_t> FindPrimary() const;
  /** @returns index of the member with the id; none if it has left */
  std::optional<size_t> Find(const EndpointId& id) const;
  /** @returns every commit ever made */
  const std::vector<GroupCommit>& GetCommits() const { return commits_; }

  /** Adds a commit to the log of the primary.

      @param senders  VMs that send it, a bit for each
      @returns        index of the commit */
  uint32_t Commit(uint32_t senders);
  /** The VM is lost, and receives no answer. */
  void ForgetSender(size_t vm);
  /** Sends the log of the primary to its replicas.

      @param observers  VMs that reach the primary, a bit for each
      @returns          commits that were acknowledged, each with the VMs that
                        have received the answer, a bit for each */
  std::vector<std::pair<uint32_t, uint32_t>> Replicate(uint32_t observers);
  /** @returns the end of the log that a leading member reports */
  LogPoint GetLedEnd(size_t member) const;
  /** @returns whether a VM waits for the acknowledgement of the primary's
     latest commit */
  bool HasWaitingCommit() const;

  /** Executes a command.

      @returns the status after it */
  ReplicationStatus Execute(size_t member, const EndpointCommand& command);
  /** Puts a promotion in force; without effect at a member that leads already
      or does not run.

      @returns number of acknowledged commits that the new primary's log lacks;
               none if the promotion had no effect */
  std::optional<size_t> Promote(size_t member);
  /** Adds a replica that copies the log of the primary.

      @returns its index */
  size_t Join();
  /** Ends a member and its log. */
  void Leave(size_t member);
  /** Ends the process of a member; its log stays. */
  void Crash(size_t member);
  /** Starts a crashed member again. */
  void Restart(size_t member);
  /** @returns whether the member would lead again if it crashed and came back:
               it was demoted, and no other one was promoted since */
  bool MayLeadAgain(size_t member) const;
  /** Ends the process of such a member and starts it again. */
  void LeadAgain(size_t member);
  /** Starts a crashed member again under an id of its own. */
  void RestartUnderNewId(size_t member);

 private:
  EndpointId MakeId();
  LogPoint GetLogEnd(const GroupMember& member) const;

  std::vector<GroupMember> members_;
  std::vector<GroupCommit> commits_;
  Term newest_term_{1};
  uint32_t id_count_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_INTERLEAVINGS_MEMBER_GROUP_H_
