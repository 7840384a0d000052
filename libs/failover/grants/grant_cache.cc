#include "failover/grants/grant_cache.h"

#include <iterator>

namespace magnoliareel {

std::pair<GrantRow, Term> AddGrant(const GrantRow& row,
                                   const GrantHolder& holder,
                                   std::span<const VmId> drivers,
                                   Term least) {
  const Term term = std::max(row.highest, least).Next();
  GrantRow next;
  next.highest = term;
  std::copy_if(row.grants.begin(), row.grants.end(),
               std::back_inserter(next.grants), [&](const TermGrant& it) {
                 return it.vm != holder.vm &&
                        std::find(drivers.begin(), drivers.end(), it.vm) !=
                            drivers.end();
               });
  next.grants.push_back({holder.vm, holder.incarnation, term});
  return {next, term};
}

}  // namespace magnoliareel
