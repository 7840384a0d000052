#ifndef MAGNOLIAREEL_STORE_CLIENT_PLATFORM_CLIENT_H_
#define MAGNOLIAREEL_STORE_CLIENT_PLATFORM_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "codec/codec.h"
#include "core/core.h"
#include "failover/failover.h"
#include "http/http.h"
#include "messages/messages.h"
#include "store/client/platform_keys.h"

namespace magnoliareel {

/** Result of a call to the platform's table. */
struct RowReply {
  /** Empty on success; kVersionConflict if the row has another version, with
      the existing row in `row`; kStoreUnavailable if the platform did not
      answer properly, in which case a write may have taken effect. */
  std::error_code ec;
  /** Row after the call. */
  TableRow row;
};

/** Result of a call that returns an object or a list. */
template <class T>
struct PlatformReply {
  /** kStoreUnavailable, kNotFound or kMalformedMessage; empty on success. */
  std::error_code ec;
  /** Returned value. */
  T value;
};

/** HTTP client of the platform's table, object store and list of VMs.

    Every completion callback is called exactly once, on the control thread.

    @tparam E  executor of the control thread
*/
template <Executor E>
class PlatformClient {
 public:
  /** Longest wait for an answer of the platform. */
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);

  /** Constructs a client.

      @param executor  executor of the control thread; must outlive the client
      @param client    HTTP client; must outlive this client
      @param address   address of the platform
      @param keys      keys of the environment's rows
  */
  PlatformClient(E& executor,
                 HttpClient& client,
                 SocketAddress address,
                 PlatformKeys keys)
      : executor_(executor),
        client_(client),
        address_(std::move(address)),
        keys_(std::move(keys)) {}

  /** @returns keys of the environment's rows */
  const PlatformKeys& GetKeys() const { return keys_; }

  /** Reads a row.

      @param key   key of the row
      @param done  receives the row; an empty row if there is none
  */
  void GetRow(const std::string& key, std::function<void(RowReply)> done) {
    Send("/table/" + PercentEncode(key, "/"), {},
         [done = std::move(done)](const HttpResult& reply) {
           done(ParseRow(reply));
         });
  }

  /** Writes a row if the row has the expected version.

      @param write  key, expected version and new value
      @param done   receives the row after the call
  */
  void CompareAndSet(const TableWrite& write,
                     std::function<void(RowReply)> done) {
    Send("/table", FormatTableWrite(write),
         [done = std::move(done)](const HttpResult& reply) {
           done(ParseRow(reply));
         });
  }

  /** Reads an object.

      @param hash  SHA-256 of the object in hex, its key
      @param done  receives the object's bytes
  */
  void GetObject(const std::string& hash,
                 std::function<void(PlatformReply<std::string>)> done) {
    Send("/objects/" + hash, {}, [done = std::move(done)](HttpResult reply) {
      done({CheckStatus(reply), std::move(reply.body)});
    });
  }

  /** Stores an object.

      @param hash   SHA-256 of the object in hex, its key
      @param bytes  bytes of the object
      @param done   receives the error; empty on success
  */
  void PutObject(const std::string& hash,
                 std::string bytes,
                 std::function<void(std::error_code)> done) {
    Send("/objects/" + hash, std::move(bytes),
         [done = std::move(done)](const HttpResult& reply) {
           done(CheckStatus(reply));
         });
  }

  /** Reads the list of VMs.

      @param done  receives the list
  */
  void ListVms(std::function<void(PlatformReply<std::vector<VmEntry>>)> done) {
    Send("/vms", {}, [done = std::move(done)](const HttpResult& reply) {
      PlatformReply<std::vector<VmEntry>> result{CheckStatus(reply), {}};
      Findings findings;
      if (!result.ec) {
        result.value = ParseVmList(reply.body, findings);
        result.ec =
            findings.IsEmpty() ? std::error_code() : Error::kMalformedMessage;
      }
      done(std::move(result));
    });
  }

  /** Reads the granted terms of a group. @see GrantStore */
  void ReadGrants(const GroupId& group, GrantCompletion done) {
    GetRow(keys_.GetGrants(group),
           [done = std::move(done)](const RowReply& reply) {
             done(ParseGrants(reply));
           });
  }

  /** Writes the granted terms of a group if the row has the expected version.
      @see GrantStore */
  void WriteGrants(const GroupId& group,
                   uint64_t expected_version,
                   const GrantRow& row,
                   GrantCompletion done) {
    CompareAndSet(
        {keys_.GetGrants(group), expected_version, FormatGrantRow(row)},
        [done = std::move(done)](const RowReply& reply) {
          done(ParseGrants(reply));
        });
  }

 private:
  static std::error_code CheckStatus(const HttpResult& reply) {
    if (!reply.ec && reply.status == 200) {
      return {};
    }
    if (!reply.ec && reply.status == 404) {
      return Error::kNotFound;
    }
    if (!reply.ec && reply.status == 409) {
      return Error::kVersionConflict;
    }
    return Error::kStoreUnavailable;
  }

  static RowReply ParseRow(const HttpResult& reply) {
    RowReply result{CheckStatus(reply), {}};
    if (result.ec == Error::kNotFound) {
      result.ec = {};
      return result;
    }
    if (!result.ec || result.ec == Error::kVersionConflict) {
      Findings findings;
      result.row = ParseTableRow(reply.body, findings);
      if (!findings.IsEmpty()) {
        result.ec = Error::kStoreUnavailable;
      }
    }
    return result;
  }

  static GrantReply ParseGrants(const RowReply& reply) {
    GrantReply result{reply.ec, {}, reply.row.version};
    if (!reply.row.value.empty()) {
      Findings findings;
      result.row = ParseGrantRow(reply.row.value, findings);
      if (!findings.IsEmpty()) {
        result.ec = Error::kMalformedMessage;
      }
    }
    return result;
  }

  void Send(std::string path,
            std::string body,
            std::function<void(HttpResult)> done) {
    HttpCall call;
    call.address = address_;
    call.path = std::move(path);
    call.body = std::move(body);
    call.timeout = kRequestTimeout;
    client_.Send(
        std::move(call), [this, done = std::move(done)](HttpResult reply) {
          executor_.Post([done, reply = std::move(reply)] { done(reply); });
        });
  }

  E& executor_;
  HttpClient& client_;
  const SocketAddress address_;
  const PlatformKeys keys_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STORE_CLIENT_PLATFORM_CLIENT_H_
