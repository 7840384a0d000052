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
  /** Id of the transaction. */
  TransactionId transaction;
  /** The only caller that may use the transaction. */
  CallerId caller;
  /** Group of the endpoint. */
  GroupId group;
  /** Endpoint that runs the transaction. */
  EndpointId endpoint;
  /** Connection that the transaction is pinned to. */
  ConnectionId connection;
  /** Term in which the transaction began; it cannot outlive the term. */
  Term term;
  /** Time at which the last statement ended. */
  TimePoint last_used;
  /** Longest time without a statement before the transaction is rolled back. */
  Duration idle_limit{0};
  /** True if a statement of the transaction is queued or running. */
  bool is_busy = false;
};

/** The open transactions of one pooler. */
class TransactionTable {
 public:
  /** @param prefix  prefix that makes ids unique across poolers and restarts */
  explicit TransactionTable(std::string prefix) : prefix_(std::move(prefix)) {}

  /** Adds a transaction.

      @param open  state of the transaction; its id is assigned here
      @returns     the assigned id
  */
  TransactionId Add(OpenTransaction open);

  /** @param transaction  id of a transaction
      @param caller       caller that sent the request
      @returns            the transaction; nullptr if it is not open or belongs
                          to another caller
  */
  OpenTransaction* Find(const TransactionId& transaction,
                        const CallerId& caller);

  /** Removes a transaction.

      @param transaction  id of the transaction
  */
  void Remove(const TransactionId& transaction) { open_.erase(transaction); }

  /** Removes the transactions that have reached their idle limit.

      @param now  current time
      @returns    the removed transactions
  */
  std::vector<OpenTransaction> TakeIdle(TimePoint now);

  /** Removes all transactions without a statement in progress.

      @returns  the removed transactions
  */
  std::vector<OpenTransaction> TakeAllIdle();

  /** @returns the number of open transactions */
  size_t GetSize() const { return open_.size(); }

 private:
  template <class Condition>
  std::vector<OpenTransaction> TakeIf(Condition condition);

  const std::string prefix_;
  uint64_t next_id_ = 1;
  std::unordered_map<TransactionId, OpenTransaction> open_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOLER_TRANSACTIONS_TRANSACTION_TABLE_H_
