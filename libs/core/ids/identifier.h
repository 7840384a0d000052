#ifndef MAGNOLIAREEL_CORE_IDS_IDENTIFIER_H_
#define MAGNOLIAREEL_CORE_IDS_IDENTIFIER_H_

#include <compare>
#include <functional>
#include <string>

namespace magnoliareel {

/** A strongly typed name; identifiers with different tags do not convert into
    each other.

    @tparam Tag  incomplete type that distinguishes the kinds of identifiers
    @see VmId, CallerId, EndpointId
*/
template <class Tag>
struct Identifier {
  /** The name as written in configuration documents and messages. */
  std::string value;

  /** Orders identifiers by their names. */
  auto operator<=>(const Identifier&) const = default;
  /** @returns true if the name is empty */
  bool IsEmpty() const { return value.empty(); }
};

/** A virtual machine that runs the system's processes. */
using VmId = Identifier<struct VmTag>;
/** A site: a failure domain that contains VMs and endpoints. */
using SiteId = Identifier<struct SiteTag>;
/** A caller: a crew, an analyst or a partner with a key of its own. */
using CallerId = Identifier<struct CallerTag>;
/** A team: callers that share keys, a limit of operations and connections. */
using TeamId = Identifier<struct TeamTag>;
/** An endpoint database. */
using EndpointId = Identifier<struct EndpointTag>;
/** A group of endpoint databases that replicate one log. */
using GroupId = Identifier<struct GroupTag>;
/** A service, which consists of the groups that store its records and the
    callers that may use it. */
using ServiceId = Identifier<struct ServiceTag>;
/** A session of one caller with one service. */
using SessionId = Identifier<struct SessionTag>;
/** A request. The caller chooses the id, which is unique per caller. */
using RequestId = Identifier<struct RequestTag>;
/** An open transaction. The pooler that holds it chooses the id. */
using TransactionId = Identifier<struct TransactionTag>;
/** A database connection. The process that opened it chooses the id. */
using ConnectionId = Identifier<struct ConnectionTag>;

}  // namespace magnoliareel

/** Hashes an identifier by its name. */
template <class Tag>
struct std::hash<magnoliareel::Identifier<Tag>> {
  size_t operator()(const magnoliareel::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};

#endif  // MAGNOLIAREEL_CORE_IDS_IDENTIFIER_H_
