#ifndef MAGNOLIAREEL_GOSSIP_ALLOWANCE_SLOT_ROW_CODEC_H_
#define MAGNOLIAREEL_GOSSIP_ALLOWANCE_SLOT_ROW_CODEC_H_

#include <string>
#include <string_view>

#include "allowance/allowance.h"

namespace magnoliareel {

/** Encodes the row that assigns slots as text fields, two for each slot: the
    owner and the mark.

    @see SlotRowCodec
*/
struct TextSlotRowCodec {
  /** @param assignment  the assignment; names without blanks
      @returns           its encoding */
  static std::string Encode(const SlotAssignment& assignment);
  /** @param value  value of a row
      @param out    receives the assignment
      @returns      false if the value is not that of a row, or the number of
                    slots is not a power of two */
  static bool Decode(std::string_view value, SlotAssignment& out);
};

static_assert(SlotRowCodec<TextSlotRowCodec>);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_GOSSIP_ALLOWANCE_SLOT_ROW_CODEC_H_
