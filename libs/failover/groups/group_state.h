#ifndef MAGNOLIAREEL_FAILOVER_GROUPS_GROUP_STATE_H_
#define MAGNOLIAREEL_FAILOVER_GROUPS_GROUP_STATE_H_

#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"
#include "session/session.h"

namespace magnoliareel {

/** What is known of one endpoint of a group. */
struct MemberState {
  /** The endpoint. */
  EndpointId endpoint;
  /** Its last report; nothing before the first one. */
  std::optional<EndpointReport> report;
  /** When the question was sent that the report answers. */
  TimePoint asked;
  /** When its position last changed. */
  TimePoint advanced;
  /** When the last report arrived. */
  TimePoint heard;
  /** Whether its last call was answered. */
  bool is_reachable = false;
};

/** The primary of a group as seen by this VM. */
struct PrimaryView {
  /** The primary. */
  EndpointId endpoint;
  /** Its term. */
  Term term;

  auto operator<=>(const PrimaryView&) const = default;
};

/** What one VM knows of a group from its endpoints' reports.

    Reports state facts about logs, which stay true: a record held in a term is
    held until a primary of a later term replaces it. Who the primary is, in
    contrast, is a view that endpoints check by term.
*/
class GroupState {
 public:
  /** @param endpoints  the group's endpoints */
  explicit GroupState(std::span<const EndpointId> endpoints);

  /** Notes an endpoint's report.

      @param endpoint  an endpoint of the group
      @param report    what it said
      @param asked     when the question was sent
      @param heard     when the answer arrived
  */
  void RecordReport(const EndpointId& endpoint,
                    const EndpointReport& report,
                    TimePoint asked,
                    TimePoint heard);

  /** Notes that an endpoint did not answer. @param endpoint  of the group */
  void RecordMiss(const EndpointId& endpoint);

  /** @returns the primary of the highest term; nothing if that term has none
      that is known */
  std::optional<PrimaryView> GetPrimary() const;

  /** @returns the highest term that any endpoint has adopted */
  Term GetHighestTerm() const;

  /** @param point  point of a record in some endpoint's log
      @returns      true if a majority holds it for good: in a log aligned with
                    its term or, if its term has ended and the primary's log
                    contains it, together with the first record of the present
                    term
  */
  bool IsHeldByMajority(LogPoint point) const;

  /** @param point  any point  @returns the endpoints that hold it */
  std::vector<EndpointId> ListHolders(LogPoint point) const;

  /** Bounds the age of an endpoint's data.

      @param endpoint  of the group
      @param now       the present
      @returns         an upper bound; nothing if none is known
  */
  std::optional<Duration> BoundAge(const EndpointId& endpoint,
                                   TimePoint now) const;

  /** @param endpoint  a name  @returns its state, or nullptr */
  const MemberState* Find(const EndpointId& endpoint) const;
  /** @returns all endpoints */
  std::span<const MemberState> GetMembers() const { return members_; }
  /** @returns the number of endpoints that form a majority */
  size_t GetMajority() const { return members_.size() / 2 + 1; }

 private:
  MemberState* FindMember(const EndpointId& endpoint);
  void RecordPrimaryObservation();

  std::vector<MemberState> members_;
  std::deque<PrimaryObservation> observations_;
  Term observed_term_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_GROUPS_GROUP_STATE_H_
