#ifndef MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_
#define MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "telemetry/events/event.h"
#include "telemetry/events/log_buffer.h"

namespace magnoliareel {

/** One named value of a log event. */
struct EventField {
  /** Name as listed in the catalogue. */
  std::string_view name;
  /** Value; quoted in the log if it holds blanks. */
  std::string value;
};

/** Sets the log's format; called once, before the first event.

    Lines go to standard output.
*/
void StartLog();

/** Writes events into a ring from now on, instead of straight to standard
    output; called once, before other threads start.

    @param ring  outlives every call of LogEvent()
    @param vm    the VM's name, at the head of each line
*/
void StartBufferedLog(LogBuffer& ring, std::string_view vm);

/** Writes one event.

    @param event   the event
    @param fields  its values
    @see ListEvents
*/
void LogEvent(Event event, std::initializer_list<EventField> fields);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_LOG_H_
