#ifndef MAGNOLIAREEL_CODEC_JSON_COMMON_FIELDS_H_
#define MAGNOLIAREEL_CODEC_JSON_COMMON_FIELDS_H_

#include <json/value.h>

#include "codec/json/object_reader.h"
#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Longest statement in any message, in bytes. */
inline constexpr size_t kMaxStatementBytes = 64 * 1024;
/** Longest answer of a statement in any message, in bytes. */
inline constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
/** Longest deadline in any message. */
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);
/** Longest age of data that a read may accept. */
inline constexpr Duration kMaxDataAge = std::chrono::hours(24);

/** Reads the field "class". @param reader  the object  @param presence  whether
    it may be left out  @param out  receives the class */
void ReadWorkClass(ObjectReader& reader, Presence presence, WorkClass& out);

/** Reads the optional field "max_age_ms". @param reader  the object
    @param out  receives the age */
void ReadMaxAge(ObjectReader& reader, std::optional<Duration>& out);

/** Reads a pair of counters as a log point.

    @param reader    the object
    @param term      name of the term's field
    @param position  name of the position's field
    @param out       receives the point
*/
void ReadLogPoint(ObjectReader& reader,
                  const char* term,
                  const char* position,
                  LogPoint& out);

/** Writes a log point unless it is the log's beginning. @see ReadLogPoint */
void WriteLogPoint(Json::Value& value,
                   const char* term,
                   const char* position,
                   LogPoint point);

/** Reads the field "outcome". @param reader  the object  @param out  receives
    the outcome */
void ReadOutcome(ObjectReader& reader, Outcome& out);

/** Reads the optional field "error". @param reader  the object  @param out
    receives the error; unchanged if there is none */
void ReadErrorName(ObjectReader& reader, std::error_code& out);

/** @param span  any time  @returns it in whole milliseconds, for a message */
Json::Int64 ToMilliseconds(Duration span);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_COMMON_FIELDS_H_
