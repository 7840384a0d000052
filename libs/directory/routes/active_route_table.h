#ifndef MAGNOLIAREEL_DIRECTORY_ROUTES_ACTIVE_ROUTE_TABLE_H_
#define MAGNOLIAREEL_DIRECTORY_ROUTES_ACTIVE_ROUTE_TABLE_H_

#include <memory>

#include "directory/model/route_table.h"

namespace magnoliareel {

/** Holds the newest configuration that this process has received from any
    source. The version never decreases while the process runs.

    @see RouteTable
*/
class ActiveRouteTable {
 public:
  /** Puts a configuration in force if it is newer.

      @param table  a configuration from the store or from a peer
      @returns      true if it is in force now
  */
  bool ApplyIfNewer(RouteTable table) {
    if (table.version <= table_->version) {
      return false;
    }
    table_ = std::make_shared<const RouteTable>(std::move(table));
    return true;
  }

  /** @returns the configuration in force; never null */
  const std::shared_ptr<const RouteTable>& Get() const { return table_; }

 private:
  std::shared_ptr<const RouteTable> table_ = std::make_shared<RouteTable>();
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_ROUTES_ACTIVE_ROUTE_TABLE_H_
