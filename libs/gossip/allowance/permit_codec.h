#ifndef MAGNOLIAREEL_GOSSIP_ALLOWANCE_PERMIT_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_ALLOWANCE_PERMIT_CODEC_H_

#include <string>
#include <string_view>

#include "allowance/allowance.h"
#include "core/core.h"

namespace magnoliareel {

/** A request for permits, as it is sent to another VM. */
struct PermitRequestDatagram {
  /** Address to which the answer is sent. */
  SocketAddress reply_to;
  PermitRequest request;
};

/** The answer to a request for permits. */
struct PermitGrantDatagram {
  /** The VM that grants the permits. */
  VmId vm;
  PermitGrant grant;
};

/** Asks the owner of several slots to give one to a VM that has none. */
struct SlotRequestDatagram {
  /** The VM that asks. */
  VmId vm;
};

/** @param datagram  the request
    @returns          its encoding, one datagram
    @see DecodePermitRequest
*/
std::string EncodePermitRequest(const PermitRequestDatagram& datagram);
/** @param bytes  a datagram
    @param out    receives the request
    @returns      false if the bytes are not a valid request
    @see EncodePermitRequest
*/
bool DecodePermitRequest(std::string_view bytes, PermitRequestDatagram& out);

/** @param datagram  the answer
    @returns          its encoding, one datagram
    @see DecodePermitGrant
*/
std::string EncodePermitGrant(const PermitGrantDatagram& datagram);
/** @param bytes  a datagram
    @param out    receives the answer
    @returns      false if the bytes are not a valid answer
    @see EncodePermitGrant
*/
bool DecodePermitGrant(std::string_view bytes, PermitGrantDatagram& out);

/** @param datagram  the request
    @returns          its encoding, one datagram
    @see DecodeSlotRequest
*/
std::string EncodeSlotRequest(const SlotRequestDatagram& datagram);
/** @param bytes  a datagram
    @param out    receives the request
    @returns      false if the bytes are not a valid request
    @see EncodeSlotRequest
*/
bool DecodeSlotRequest(std::string_view bytes, SlotRequestDatagram& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_ALLOWANCE_PERMIT_CODEC_H_
