#include "failover/grants/grant_cache.h"

#include <iterator>

namespace magnoliareel {

std::pair<GrantRow, Term> AddGrant(const GrantRow& row,
                                   const GrantHolder& holder,
                                   std::span<const VmId> drivers,
                                   Term lower_bound) {
  const Term term = std::max(row.highest, lower_bound).Next();
  GrantRow new_row;
  new_row.highest = term;
  std::copy_if(row.grants.begin(), row.grants.end(),
               std::back_inserter(new_row.grants), [&](const TermGrant& it) {
                 return it.vm != holder.vm &&
                        std::find(drivers.begin(), drivers.end(), it.vm) !=
                            drivers.end();
               });
  new_row.grants.push_back({holder.vm, holder.incarnation, term});
  return {new_row, term};
}

}  // namespace magnoliareel
