#ifndef MAGNOLIAREEL_TESTS_HOSTILE_HOSTILE_CROWD_H_
#define MAGNOLIAREEL_TESTS_HOSTILE_HOSTILE_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace magnoliareel {

/** How the connections of a crowd behave. All of them do the same. */
struct CrowdKind {
  std::string_view name = {};
  size_t connections = 0;
  /** Number of messages that each connection sends after its opening one. */
  size_t messages = 0;
  /** Length of a message in bytes, without CR LF. */
  size_t length = 0;
  /** Start of the statement, which is filled up to `length`. A digit that the
      connection counts up is appended to a name that ends it. */
  std::string_view statement = {};
  /** The messages end with CR LF; otherwise the connection stops before. */
  bool is_complete = true;
  /** The connection names a database or an endpoint first. */
  bool opens = true;
  bool reads_answers = false;
  /** Sends each byte in a segment of its own. */
  bool is_slow = false;
  /** Limits in the node's settings. */
  size_t memory_mb = 160;
  size_t max_descriptors = 4300;
};

/** @returns all kinds */
std::vector<CrowdKind> ListCrowdKinds();

/** @param kind     the kind
    @param is_peer  true if it speaks as another VM
    @param number   number of the message, from 0
    @returns        the message with its end if it has one
*/
std::string MakeCrowdMessage(const CrowdKind& kind,
                             bool is_peer,
                             size_t number);

/** Connections to one address that send what their kind says. */
class HostileCrowd {
 public:
  HostileCrowd(const CrowdKind& kind, bool is_peer, SocketAddress address);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  /** Connects all and sends until nothing more is accepted or all is sent.

      @param observe  called repeatedly meanwhile
  */
  void Run(const std::function<void()>& observe);
  /** @returns the number of connections that the other side has not closed */
  size_t CountOpen() const;
  /** @returns the number of bytes that were sent */
  uint64_t GetSentBytes() const { return sent_bytes_; }

 private:
  struct Member {
    int fd = -1;
    std::string out;
    size_t sent = 0;
    size_t next_message = 0;
    bool finished = false;
  };

  void Connect(Member& member);
  /** @returns whether bytes were sent or received */
  bool Send(Member& member);
  bool Receive(Member& member);

  const CrowdKind kind_;
  const bool is_peer_;
  const SocketAddress address_;
  std::vector<Member> members_;
  uint64_t sent_bytes_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_HOSTILE_HOSTILE_CROWD_H_
