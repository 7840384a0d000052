#ifndef MAGNOLIAREEL_RELAY_CONNECTIONS_PREPARED_NAMES_H_
#define MAGNOLIAREEL_RELAY_CONNECTIONS_PREPARED_NAMES_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/messages/pooled_statement_name.h"
#include "relay/sessions/session_values.h"

namespace magnoliareel {

/** The names under which statements are prepared on one connection. Each kind
    and shape has one name; the least recently used names are given up. */
class PreparedNames {
 public:
  /** Maximum number of names. */
  static constexpr size_t kMaxCount = 256;
  /** Maximum length of all shapes together, in bytes. One longer shape is held
      alone. */
  static constexpr size_t kMaxShapeBytes = 64 * 1024;

  /** The result of Use(). */
  struct Usage {
    PooledStatementName name;
    /** True if the statement must be prepared under the name. */
    bool is_new = false;
    /** Names that are no longer in use: to be deallocated before. */
    std::vector<PooledStatementName> evicted;
  };

  PreparedNames() = default;
  PreparedNames(const PreparedNames&) = delete;
  PreparedNames& operator=(const PreparedNames&) = delete;

  /** Finds or makes the name of a statement that is to be executed.

      @param statement  the statement; not null
  */
  Usage Use(std::shared_ptr<const PreparedStatement> statement);
  /** Gives up a name that the endpoint does not know; others are ignored. */
  void Forget(PooledStatementName name);
  /** Gives up all names. Names that are made later differ from them. */
  void Clear();

  /** @returns the number of names */
  size_t Count() const { return entries_.size(); }
  /** @returns the length of all shapes together, in bytes */
  size_t GetShapeBytes() const { return shape_bytes_; }
  /** @returns true if the numbers run out, so that the connection must end */
  bool IsExhausted() const {
    return last_number_ >= kLongestPooledStatementName.number / 2;
  }

 private:
  struct Entry {
    PooledStatementName name;
    std::shared_ptr<const PreparedStatement> statement;
  };
  using Entries = std::list<Entry>;
  /** Kind and shape; the text belongs to the entry. */
  using Key = std::pair<bool, std::string_view>;

  static Key MakeKey(const PreparedStatement& statement) {
    return {statement.writes, statement.shape};
  }
  void Erase(Entries::iterator entry);

  /** The most recently used one is first. */
  Entries entries_;
  std::map<Key, Entries::iterator> index_;
  size_t shape_bytes_ = 0;
  uint32_t last_number_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CONNECTIONS_PREPARED_NAMES_H_
