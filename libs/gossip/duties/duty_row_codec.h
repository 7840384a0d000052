#ifndef MAGNOLIAREEL_GOSSIP_DUTIES_DUTY_ROW_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_DUTIES_DUTY_ROW_CODEC_H_

#include <string>
#include <string_view>

#include "coordination/coordination.h"

namespace magnoliareel {

/** Encodes the rows of kDutyTable as text fields, the holder's name first.
    Earlier versions wrote that name alone, which decodes to an empty record.

    @see DutyRowCodec
*/
struct TextDutyRowCodec {
  /** @param row  the row; names and ids without blanks
      @returns    its encoding */
  static std::string Encode(const DutyRow& row);
  /** @param value  value of a row
      @param out    receives the row
      @returns      false if the value is not that of a row */
  static bool Decode(std::string_view value, DutyRow& out);
};

static_assert(DutyRowCodec<TextDutyRowCodec>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_DUTIES_DUTY_ROW_CODEC_H_
