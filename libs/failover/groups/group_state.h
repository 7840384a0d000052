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

/** State of one endpoint of a group, as this VM knows it. */
struct MemberState {
  /** The endpoint. */
  EndpointId endpoint;
  /** Its latest report; nothing before the first one. */
  std::optional<EndpointReport> report;
  /** Time at which the request that `report` answers was sent. */
  TimePoint request_time;
  /** Time at which its log position last changed. */
  TimePoint last_advanced;
  /** Time at which its latest report arrived. */
  TimePoint last_heard;
  /** True if its last call was answered. */
  bool is_reachable = false;
};

/** The primary of a group, as this VM knows it. */
struct PrimaryView {
  /** The primary. */
  EndpointId endpoint;
  /** Its term. */
  Term term;

  auto operator<=>(const PrimaryView&) const = default;
};

/** State of a group as one VM knows it from the reports of the endpoints.

    What a report says about a log stays true: a record held in a term is held
    until a primary of a later term replaces it. The current primary, in
    contrast, is only this VM's view; endpoints check the term of each call.
*/
class GroupState {
 public:
  /** @param endpoints  all endpoints of the group */
  explicit GroupState(std::span<const EndpointId> endpoints);

  /** Records a report of an endpoint.

      @param endpoint      an endpoint of the group
      @param report        the report
      @param request_time  time at which the request was sent
      @param answer_time   time at which the answer arrived
  */
  void RecordReport(const EndpointId& endpoint,
                    const EndpointReport& report,
                    TimePoint request_time,
                    TimePoint answer_time);

  /** Records that an endpoint did not answer.

      @param endpoint  an endpoint of the group
  */
  void RecordMiss(const EndpointId& endpoint);

  /** @returns the primary of the highest term; nothing if it is not known */
  std::optional<PrimaryView> GetPrimary() const;

  /** @returns the highest term that any endpoint has adopted */
  Term GetHighestTerm() const;

  /** Returns whether a majority holds a record permanently.

      @param point  point of a record in the log of any endpoint
      @returns      true if a majority holds the record in a log aligned with
                    the record's term; or, if that term has ended and the
                    primary's log contains the record, if a majority holds the
                    first record of the current term
  */
  bool IsHeldByMajority(LogPoint point) const;

  /** @param point  any log point
      @returns      the endpoints whose log contains the point
  */
  std::vector<EndpointId> ListHolders(LogPoint point) const;

  /** Returns an upper bound for the age of an endpoint's data.

      @param endpoint  an endpoint of the group
      @param now       current time
      @returns         the bound; nothing if none is known
  */
  std::optional<Duration> BoundAge(const EndpointId& endpoint,
                                   TimePoint now) const;

  /** @param endpoint  name of an endpoint
      @returns         its state; nullptr if it is not in the group
  */
  const MemberState* Find(const EndpointId& endpoint) const;
  /** @returns the state of all endpoints */
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
