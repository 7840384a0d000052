#ifndef MAGNOLIAREEL_CODEC_HISTORY_HISTORY_CODEC_H_
#define MAGNOLIAREEL_CODEC_HISTORY_HISTORY_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "history/history.h"

namespace magnoliareel {

/** Serializes an operation of a recorded history.

    @param operation  operation to serialize
    @returns          JSON on one line, without a line break
*/
std::string FormatOperation(const Operation& operation);

/** Parses a recorded history.

    @param text      one JSON object per line
    @param findings  receives every fault, with the number of its line
    @returns         the operations on the lines without faults
*/
std::vector<Operation> ParseHistory(std::string_view text, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_HISTORY_HISTORY_CODEC_H_
