#ifndef MAGNOLIAREEL_DIRECTORY_ROUTES_ACTIVE_ROUTE_TABLE_H_
#define MAGNOLIAREEL_DIRECTORY_ROUTES_ACTIVE_ROUTE_TABLE_H_

#include <memory>

#include "directory/model/route_table.h"

namespace magnoliareel {

/** Keeps the newest configuration that this process has seen, from whatever
    source it came. A version never goes back within a lifetime.

    @see RouteTable
*/
class ActiveRouteTable {
 public:
  /** @param table  a version, from the store or from a peer
      @returns      true if it is newer and now in force
  */
  bool Offer(RouteTable table) {
    if (table.version <= table_->version) {
      return false;
    }
    table_ = std::make_shared<const RouteTable>(std::move(table));
    return true;
  }

  /** @returns the version in force; never null */
  const std::shared_ptr<const RouteTable>& Get() const { return table_; }

 private:
  std::shared_ptr<const RouteTable> table_ = std::make_shared<RouteTable>();
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_ROUTES_ACTIVE_ROUTE_TABLE_H_
