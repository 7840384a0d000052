#ifndef MAGNOLIAREEL_HISTORY_OPERATIONS_SPLIT_VALUES_H_
#define MAGNOLIAREEL_HISTORY_OPERATIONS_SPLIT_VALUES_H_

#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** Splits the stored text of a record.

    @param text  values separated by commas
    @returns     the values
*/
std::vector<std::string> SplitValues(std::string_view text);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HISTORY_OPERATIONS_SPLIT_VALUES_H_
