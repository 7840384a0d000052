#include "core/ids/log_point.h"

namespace magnoliareel {

std::string FormatLogPoint(const LogPoint& point) {
  return std::to_string(point.term.value) + "." +
         std::to_string(point.position.value);
}

}  // namespace magnoliareel
