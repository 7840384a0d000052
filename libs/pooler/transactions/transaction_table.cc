#include "pooler/transactions/transaction_table.h"

#include <utility>

namespace magnoliareel {

TransactionId TransactionTable::Add(OpenTransaction open) {
  open.transaction.value = prefix_ + "-" + std::to_string(next_id_++);
  TransactionId transaction = open.transaction;
  open_.emplace(transaction, std::move(open));
  return transaction;
}

OpenTransaction* TransactionTable::Find(const TransactionId& transaction,
                                        const CallerId& caller) {
  const auto it = open_.find(transaction);
  return it == open_.end() || it->second.caller != caller ? nullptr
                                                          : &it->second;
}

std::vector<OpenTransaction> TransactionTable::TakeIdle(TimePoint now) {
  return TakeIf([now](const OpenTransaction& it) {
    return now - it.last_used >= it.idle_limit;
  });
}

std::vector<OpenTransaction> TransactionTable::TakeAllIdle() {
  return TakeIf([](const OpenTransaction&) { return true; });
}

template <class Condition>
std::vector<OpenTransaction> TransactionTable::TakeIf(Condition condition) {
  std::vector<OpenTransaction> taken;
  for (auto it = open_.begin(); it != open_.end();) {
    if (!it->second.is_busy && condition(it->second)) {
      taken.push_back(std::move(it->second));
      it = open_.erase(it);
    } else {
      ++it;
    }
  }
  return taken;
}

}  // namespace magnoliareel
