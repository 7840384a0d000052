#ifndef MAGNOLIAREEL_STANDINS_SITE_STORE_MODEL_H_
#define MAGNOLIAREEL_STANDINS_SITE_STORE_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** Models the platform's store of rows and its HTTP interface: rows-tx,
    rows-get and the long poll rows-feed. Test-only. */
class StoreModel {
 public:
  /** Sends an answer with an HTTP status and a body. */
  using Answer = std::function<void(int status, const std::string& body)>;

  /** Handles a request.

      @param method  HTTP method
      @param target  path and query
      @param body    body of the request
      @param answer  called immediately, or for a feed without changes when the
                     table changes
      @returns       number of the pending poll for AnswerPendingPoll(), or 0 if
                     the request was answered
  */
  uint64_t Handle(std::string_view method,
                  std::string_view target,
                  const std::string& body,
                  Answer answer);
  /** Answers a pending poll with the changes so far; does nothing if it was
      answered already. */
  void AnswerPendingPoll(uint64_t poll_id);

  /** Writes a row without a precondition, as the operator or a database
      does. */
  void Put(const std::string& table, const std::string& key, std::string value);
  /** Deletes a row. */
  void Remove(const std::string& table, const std::string& key);
  /** Sets whether every request is answered with 503. */
  void SetDown(bool is_down) { is_down_ = is_down; }
  /** Takes a copy of all rows. */
  void TakeCopy();
  /** Replaces all rows by those of the copy. Versions continue from there, and
      the era is the next one. Pending polls are answered with 503. */
  void RestoreCopy();
  /** @returns how often the store was restored from a copy, plus one */
  uint64_t GetEra() const { return era_; }
  /** Discards the history of changes: a feed from an earlier version is
      answered with 410. */
  void DiscardHistory() { oldest_version_ = version_; }
  /** @returns the longest wait that a feed request asked for, in milliseconds;
               0 if none */
  static int64_t GetPollTimeoutMs(std::string_view target);

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_removed = false;
  };
  struct PendingPoll {
    std::string table;
    uint64_t after = 0;
    Answer answer;
  };
  using Table = std::map<std::string, Row>;

  void ExecuteTransaction(const std::string& body, const Answer& answer);
  std::string FormatRows(const std::string& table,
                         uint64_t after,
                         bool with_removed,
                         std::string_view from,
                         std::string_view to) const;
  void AnswerPendingPolls(const std::string& table);

  std::map<std::string, Table> tables_;
  std::map<std::string, Table> copied_tables_;
  uint64_t copied_version_ = 1;
  uint64_t era_ = 1;
  std::map<uint64_t, PendingPoll> pending_polls_;
  uint64_t version_ = 1;
  uint64_t oldest_version_ = 0;
  uint64_t next_poll_id_ = 1;
  bool is_down_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STANDINS_SITE_STORE_MODEL_H_
