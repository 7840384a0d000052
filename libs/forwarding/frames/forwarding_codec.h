#ifndef MAGNOLIAREEL_FORWARDING_FRAMES_FORWARDING_CODEC_H_
#define MAGNOLIAREEL_FORWARDING_FRAMES_FORWARDING_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "directory/directory.h"
#include "relay/messages/forwarded_message.h"
#include "relay/messages/forwarding_dialect.h"

namespace magnoliareel {

/** Highest priority number and longest time left of a forwarded statement.
    Larger ones are sent as these. */
inline constexpr int kMaxForwardedPriority = 1'000'000;
inline constexpr Duration kMaxForwardedTime = std::chrono::hours(24);

/** Bytes by which a forwarded statement is longer than the caller's message, at
    most: the header, and the pool's name of a prepared statement. */
inline constexpr size_t kMaxForwardingOverheadBytes = 128 + kMaxTeamNameBytes;

/** Appends the fields that precede a forwarded statement, each followed by a
    blank.

    @param out     receives the fields
    @param header  the values
*/
void AppendForwardingFields(std::string& out, const ForwardingHeader& header);

/** Decodes the fields that AppendForwardingFields() writes.

    @param rest  the message; receives what follows the fields
    @param out   receives the values
    @returns     false if a field is missing or not valid
*/
bool TakeForwardingFields(std::string_view& rest, ForwardingHeader& out);

/** Adds the messages between VMs to a line-based dialect. A forwarded statement
    is the dialect's own message behind a header on the same line, so that its
    text reaches the endpoint unchanged.

    @tparam D  a WireDialect whose messages are lines that end with CR LF, with
               `DecodePeer(line, CallerMessage&)`, which decodes callers'
               messages and the pool's own statements
    @see ForwardingDialect
*/
template <WireDialect D>
struct ForwardingCodec : D {
  static constexpr Word kOpen = "OPEN";
  static constexpr Word kRun = "RUN";
  /** A statement with its team in front of the other fields. VMs of versions
      without teams refuse it. */
  static constexpr Word kRunForTeam = "RUNFOR";
  static constexpr Word kPing = "PING";
  static constexpr Word kPong = "PONG";

  /** @see ForwardingDialect */
  static bool DecodeForwarded(std::string_view line, ForwardedMessage& out) {
    std::string_view rest = line;
    const std::string_view word = TakeField(rest);
    if (word == kPing.GetText()) {
      out.kind = ForwardedMessageKind::kPing;
      return rest.empty();
    }
    if (word == kOpen.GetText()) {
      out.kind = ForwardedMessageKind::kOpen;
      out.service = TakeField(rest);
      out.endpoint = rest;
      return IsWord(out.service) && IsWord(out.endpoint);
    }
    if (word == kRun.GetText() || word == kRunForTeam.GetText()) {
      out.kind = ForwardedMessageKind::kStatement;
      out.header.team = {};
      if (word == kRunForTeam.GetText()) {
        out.header.team = TakeField(rest);
        if (!IsWord(out.header.team)) {
          return false;
        }
      }
      return TakeForwardingFields(rest, out.header) &&
             D::DecodePeer(rest, out.message) &&
             out.message.kind == CallerRequestKind::kStatement;
    }
    out.kind = ForwardedMessageKind::kSessionState;
    return D::DecodePeer(line, out.message) &&
           out.message.kind == CallerRequestKind::kStatement;
  }
  /** @see ForwardingDialect */
  static void AppendForwardingOpen(std::string& out,
                                   std::string_view service,
                                   std::string_view endpoint) {
    AppendFields(out, {kOpen, Word(service), Word(endpoint)});
    out.append("\r\n");
  }
  /** @see ForwardingDialect */
  static void AppendForwardingHeader(std::string& out,
                                     const ForwardingHeader& header) {
    if (header.team.empty()) {
      AppendFields(out, {kRun});
    } else {
      AppendFields(out, {kRunForTeam, Word(header.team)});
    }
    out.push_back(' ');
    AppendForwardingFields(out, header);
  }
  /** @see ForwardingDialect */
  static void AppendPing(std::string& out) {
    out.append(kPing.GetText()).append("\r\n");
  }
  /** @see ForwardingDialect */
  static void AppendPong(std::string& out) {
    out.append(kPong.GetText()).append("\r\n");
  }
  /** @see ForwardingDialect */
  static bool IsPong(std::string_view line) { return line == kPong.GetText(); }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FORWARDING_FRAMES_FORWARDING_CODEC_H_
