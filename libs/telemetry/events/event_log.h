#ifndef MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_
#define MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "telemetry/events/event.h"
#include "telemetry/events/log_buffer.h"

namespace magnoliareel {

/** A named value of a log event. */
struct EventField {
  /** Name of the field, as listed in the catalogue. */
  std::string_view name;
  /** The value; quoted in the log if it is empty or contains a space, a line
      break or a quotation mark. */
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
