#include "codec/json/common_fields.h"

namespace magnoliareel {

void ReadWorkClass(ObjectReader& reader, Presence presence, WorkClass& out) {
  reader.ReadEnum(
      "class", presence,
      [&out](std::string_view word) {
        if (word != "long" && word != "short") {
          return false;
        }
        out = word == "long" ? WorkClass::kLong : WorkClass::kShort;
        return true;
      },
      "short, long");
}

void ReadMaxAge(ObjectReader& reader, std::optional<Duration>& out) {
  if (!reader.Has("max_age_ms")) {
    return;
  }
  Duration age{0};
  reader.ReadMilliseconds("max_age_ms", Presence::kOptional, kMaxDataAge, age);
  out = age;
}

void ReadLogPoint(ObjectReader& reader,
                  const char* term,
                  const char* position,
                  LogPoint& out) {
  reader.ReadUint64(term, Presence::kOptional, out.term.value);
  reader.ReadUint64(position, Presence::kOptional, out.position.value);
}

void WriteLogPoint(Json::Value& value,
                   const char* term,
                   const char* position,
                   LogPoint point) {
  if (point == LogPoint{}) {
    return;
  }
  value[term] = Json::UInt64(point.term.value);
  value[position] = Json::UInt64(point.position.value);
}

void ReadOutcome(ObjectReader& reader, Outcome& out) {
  reader.ReadEnum(
      "outcome", Presence::kRequired,
      [&out](std::string_view word) {
        const auto outcome = ParseOutcomeName(word);
        out = outcome.value_or(out);
        return outcome.has_value();
      },
      "done, failed, not_run, unknown");
}

void ReadErrorName(ObjectReader& reader, std::error_code& out) {
  std::string name;
  reader.ReadString("error", Presence::kOptional, name);
  if (!name.empty()) {
    out = ParseErrorName(name);
  }
}

Json::Int64 ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace magnoliareel
