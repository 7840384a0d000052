#ifndef MAGNOLIAREEL_MESSAGES_CALLER_WORK_CLASS_H_
#define MAGNOLIAREEL_MESSAGES_CALLER_WORK_CLASS_H_

#include <string_view>

namespace magnoliareel {

/** Declared run time of a statement. Long statements may not occupy all slots
    of an endpoint. */
enum class WorkClass { kShort, kLong };

/** @param work_class  class of a statement  @returns "short" or "long" */
inline std::string_view GetWorkClassName(WorkClass work_class) noexcept {
  return work_class == WorkClass::kLong ? "long" : "short";
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CALLER_WORK_CLASS_H_
