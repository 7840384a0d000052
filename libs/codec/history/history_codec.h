#ifndef MAGNOLIAREEL_CODEC_HISTORY_HISTORY_CODEC_H_
#define MAGNOLIAREEL_CODEC_HISTORY_HISTORY_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "history/history.h"

namespace magnoliareel {

/** @param operation  any operation  @returns its JSON on one line */
std::string FormatOperation(const Operation& operation);

/** Parses a recorded history.

    @param text      one JSON object on each line
    @param findings  receives every fault; its place names the line
    @returns         the operations that could be read
*/
std::vector<Operation> ParseHistory(std::string_view text, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_HISTORY_HISTORY_CODEC_H_
