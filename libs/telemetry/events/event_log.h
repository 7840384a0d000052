#ifndef MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_
#define MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

#include "telemetry/events/event.h"
#include "telemetry/events/log_buffer.h"

namespace magnoliareel {

/** Maximum part of a value that the log shows, in bytes before quoting. */
inline constexpr size_t kMaxLoggedValueSize = 1024;

/** A named value of a log event. */
struct EventField {
  /** Name of the field, as listed in the catalogue. */
  std::string_view name;
  /** The value, any bytes. The log quotes it unless it is a word of printable
      ASCII characters without quotation marks, backslashes and equals signs, so
      that no value can be read as a field or line of its own. */
  std::string value;
};

/** Configures the log to write lines to standard output; called once, before
    the first event.
*/
void StartLog();

/** Makes LogEvent() write into a buffer instead of directly to standard output;
    called once, before other threads start.

    @param buffer  receives the lines; outlives every call of LogEvent()
    @param vm      name of the VM, written after the time of each line
*/
void StartBufferedLog(LogBuffer& buffer, std::string_view vm);

/** Writes an event to the log; may be called from any thread.

    @param event   the event
    @param fields  its fields, in the order in which they are written
    @see ListEvents
*/
void LogEvent(Event event, std::initializer_list<EventField> fields);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_
