#ifndef MAGNOLIAREEL_GOSSIP_COMMANDS_ANSWERED_COMMIT_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_COMMANDS_ANSWERED_COMMIT_CODEC_H_

#include <string>
#include <string_view>

#include "control/control.h"

namespace magnoliareel {

/** @param query  the query
    @returns       its encoding, one datagram
    @see DecodeAnsweredCommitQuery
*/
std::string EncodeAnsweredCommitQuery(const AnsweredCommitQuery& query);
/** @param bytes  a datagram
    @param out    receives the query
    @returns      false if the bytes are not a valid query
    @see EncodeAnsweredCommitQuery
*/
bool DecodeAnsweredCommitQuery(std::string_view bytes,
                               AnsweredCommitQuery& out);

/** @param response  the response
    @returns          its encoding, one datagram
    @see DecodeAnsweredCommitResponse
*/
std::string EncodeAnsweredCommitResponse(
    const AnsweredCommitResponse& response);
/** @param bytes  a datagram
    @param out    receives the response
    @returns      false if the bytes are not a valid response
    @see EncodeAnsweredCommitResponse
*/
bool DecodeAnsweredCommitResponse(std::string_view bytes,
                                  AnsweredCommitResponse& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_COMMANDS_ANSWERED_COMMIT_CODEC_H_
