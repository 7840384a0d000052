#ifndef MAGNOLIAREEL_COORDINATION_TESTS_FAKE_DUTY_ROW_CODEC_H_
#define MAGNOLIAREEL_COORDINATION_TESTS_FAKE_DUTY_ROW_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordination.h"
#include "core/core.h"

namespace magnoliareel {

/** Keeps the encoded rows in memory; the encoding is their number.
    @see DutyRowCodec */
struct FakeDutyRowCodec {
  static std::string Encode(const DutyRow& row) {
    rows.push_back(row);
    return std::to_string(rows.size() - 1);
  }
  static bool Decode(std::string_view value, DutyRow& out) {
    uint64_t n = 0;
    if (!ParseDecimal(value, n) || n >= rows.size()) {
      return false;
    }
    out = rows[n];
    return true;
  }

  inline static std::vector<DutyRow> rows;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_TESTS_FAKE_DUTY_ROW_CODEC_H_
