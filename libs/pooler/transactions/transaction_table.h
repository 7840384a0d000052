#ifndef MAGNOLIAREEL_POOLER_TRANSACTIONS_TRANSACTION_TABLE_H_
#define MAGNOLIAREEL_POOLER_TRANSACTIONS_TRANSACTION_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** A transaction whose connection this pooler holds. */
struct OpenTransaction {
  /** Its name. */
  TransactionId transaction;
  /** The only caller that may use it. */
  CallerId caller;
  /** The group it runs in. */
  GroupId group;
  /** The endpoint it runs on. */
  EndpointId endpoint;
  /** Its connection. */
  ConnectionId connection;
  /** Term in which it began; it ends with the term. */
  Term term;
  /** When its last statement ended. */
  TimePoint last_used;
  /** Longest time without a statement. */
  Duration idle_limit{0};
  /** Whether a statement of it waits or runs. */
  bool is_busy = false;
};

/** The open transactions of one pooler. */
class TransactionTable {
 public:
  /** @param prefix  makes names unique among poolers and restarts */
  explicit TransactionTable(std::string prefix) : prefix_(std::move(prefix)) {}

  /** Adds a transaction. @param open  its state; the name is filled in
      @returns the name */
  TransactionId Add(OpenTransaction open);

  /** @param transaction  a name
      @param caller       who asks
      @returns            the transaction if it is open and belongs to the
                          caller, else nullptr
  */
  OpenTransaction* Find(const TransactionId& transaction,
                        const CallerId& caller);

  /** Forgets a transaction. @param transaction  a name */
  void Remove(const TransactionId& transaction) { open_.erase(transaction); }

  /** Removes transactions that were idle for too long.

      @param now  the present
      @returns    what was removed
  */
  std::vector<OpenTransaction> TakeIdle(TimePoint now);

  /** Removes all transactions without a statement in progress.

      @returns  what was removed
  */
  std::vector<OpenTransaction> TakeAllIdle();

  /** @returns open transactions */
  size_t GetSize() const { return open_.size(); }

 private:
  template <class Condition>
  std::vector<OpenTransaction> TakeIf(Condition condition);

  const std::string prefix_;
  uint64_t next_ = 1;
  std::unordered_map<TransactionId, OpenTransaction> open_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_TRANSACTIONS_TRANSACTION_TABLE_H_
