#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_TABLE_ROW_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_TABLE_ROW_H_

#include <cstdint>
#include <string>

namespace magnoliareel {

/** One row of the platform's table. */
struct TableRow {
  /** Its value; empty if there is no such row. */
  std::string value;
  /** Grows with every change; 0 if there is no such row. */
  uint64_t version = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_TABLE_ROW_H_
