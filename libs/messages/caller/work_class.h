#ifndef MAGNOLIAREEL_MESSAGES_CALLER_WORK_CLASS_H_
#define MAGNOLIAREEL_MESSAGES_CALLER_WORK_CLASS_H_

#include <string_view>

namespace magnoliareel {

/** Declared length of a statement; long work may not fill all slots. */
enum class WorkClass { kShort, kLong };

/** @param work_class  any class  @returns "short" or "long" */
inline std::string_view GetWorkClassName(WorkClass work_class) noexcept {
  return work_class == WorkClass::kLong ? "long" : "short";
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CALLER_WORK_CLASS_H_
