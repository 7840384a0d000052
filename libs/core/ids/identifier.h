#ifndef MAGNOLIAREEL_CORE_IDS_IDENTIFIER_H_
#define MAGNOLIAREEL_CORE_IDS_IDENTIFIER_H_

#include <compare>
#include <functional>
#include <string>

namespace magnoliareel {

/** A name of one kind of thing; names of different kinds do not mix.

    @tparam Tag  a type that tells the kinds apart and is never instantiated
    @see VmId, CallerId, EndpointId
*/
template <class Tag>
struct Identifier {
  /** The name itself, as written in the operators' document or a message. */
  std::string value;

  /** Orders identifiers by their text. */
  auto operator<=>(const Identifier&) const = default;
  /** @returns true if no name was given */
  bool IsEmpty() const { return value.empty(); }
};

/** A virtual machine that runs the system's processes. */
using VmId = Identifier<struct VmTag>;
/** A site: the failure domain that holds VMs and endpoints. */
using SiteId = Identifier<struct SiteTag>;
/** A caller: a crew, an analyst or a partner that holds a key. */
using CallerId = Identifier<struct CallerTag>;
/** One endpoint database. */
using EndpointId = Identifier<struct EndpointTag>;
/** A group of endpoint databases that replicate one log. */
using GroupId = Identifier<struct GroupTag>;
/** A service: the groups that hold its records and the callers it admits. */
using ServiceId = Identifier<struct ServiceTag>;
/** A session of one caller with one service. */
using SessionId = Identifier<struct SessionTag>;
/** A request, named by its caller; unique within the caller. */
using RequestId = Identifier<struct RequestTag>;
/** An open transaction, named by the pooler that holds it. */
using TransactionId = Identifier<struct TransactionTag>;
/** A database connection, named by the process that opened it. */
using ConnectionId = Identifier<struct ConnectionTag>;

}  // namespace magnoliareel

/** Hashes an identifier by its text. */
template <class Tag>
struct std::hash<magnoliareel::Identifier<Tag>> {
  size_t operator()(const magnoliareel::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};

#endif  // MAGNOLIAREEL_CORE_IDS_IDENTIFIER_H_
