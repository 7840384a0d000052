#ifndef MAGNOLIAREEL_GOSSIP_COMMANDS_FORWARDED_COMMAND_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_COMMANDS_FORWARDED_COMMAND_CODEC_H_

#include <string>
#include <string_view>

#include "control/control.h"

namespace magnoliareel {

/** @param command  a report or a demotion
    @returns         its encoding, one datagram
    @see DecodeForwardedCommand
*/
std::string EncodeForwardedCommand(const ForwardedCommand& command);
/** @param bytes  a datagram
    @param out    receives the command
    @returns      false if the bytes are not a report or a demotion to forward
    @see EncodeForwardedCommand
*/
bool DecodeForwardedCommand(std::string_view bytes, ForwardedCommand& out);

/** @param response  the response
    @returns          its encoding, one datagram
    @see DecodeForwardedCommandResponse
*/
std::string EncodeForwardedCommandResponse(
    const ForwardedCommandResponse& response);
/** @param bytes  a datagram
    @param out    receives the response
    @returns      false if the bytes are not a valid response
    @see EncodeForwardedCommandResponse
*/
bool DecodeForwardedCommandResponse(std::string_view bytes,
                                    ForwardedCommandResponse& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_COMMANDS_FORWARDED_COMMAND_CODEC_H_
