#ifndef MAGNOLIAREEL_CODEC_JSON_COMMON_FIELDS_H_
#define MAGNOLIAREEL_CODEC_JSON_COMMON_FIELDS_H_

#include <json/value.h>

#include "codec/json/object_reader.h"
#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Maximum size of a statement, in bytes. */
inline constexpr size_t kMaxStatementBytes = 64 * 1024;
/** Maximum size of a statement's answer, in bytes. */
inline constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
/** Maximum deadline of a request. */
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);
/** Maximum staleness bound of a read. */
inline constexpr Duration kMaxDataAge = std::chrono::hours(24);

/** Reads the field "class".

    @param reader    reader of the object
    @param presence  whether the field is required
    @param out       receives the class
*/
void ReadWorkClass(ObjectReader& reader, Presence presence, WorkClass& out);

/** Reads the optional field "max_age_ms".

    @param reader  reader of the object
    @param out     receives the staleness bound
*/
void ReadMaxAge(ObjectReader& reader, std::optional<Duration>& out);

/** Reads a log point from two optional fields.

    @param reader    reader of the object
    @param term      name of the field with the term
    @param position  name of the field with the position
    @param out       receives the log point
*/
void ReadLogPoint(ObjectReader& reader,
                  const char* term,
                  const char* position,
                  LogPoint& out);

/** Writes a log point as two fields; omits them for the beginning of the log.

    @param value     object that receives the fields
    @param term      name of the field with the term
    @param position  name of the field with the position
    @param point     log point to write
    @see ReadLogPoint
*/
void WriteLogPoint(Json::Value& value,
                   const char* term,
                   const char* position,
                   LogPoint point);

/** Reads the required field "outcome".

    @param reader  reader of the object
    @param out     receives the outcome
*/
void ReadOutcome(ObjectReader& reader, Outcome& out);

/** Reads the optional field "error".

    @param reader  reader of the object
    @param out     receives the error; unchanged if the field is absent
*/
void ReadErrorName(ObjectReader& reader, std::error_code& out);

/** Converts a duration for a field whose name ends in _ms.

    @param duration  duration to convert
    @returns         the duration in milliseconds, rounded towards zero
*/
Json::Int64 ToMilliseconds(Duration duration);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_COMMON_FIELDS_H_
