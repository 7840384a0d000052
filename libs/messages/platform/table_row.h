#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_TABLE_ROW_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_TABLE_ROW_H_

#include <cstdint>
#include <string>

namespace magnoliareel {

/** One row of the platform's table. */
struct TableRow {
  /** Value of the row; empty if the row does not exist. */
  std::string value;
  /** Version of the row, increased with every change; 0 if the row does not
      exist. */
  uint64_t version = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_TABLE_ROW_H_
