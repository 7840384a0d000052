#ifndef MAGNOLIAREEL_CODEC_JSON_OBJECT_READER_H_
#define MAGNOLIAREEL_CODEC_JSON_OBJECT_READER_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Whether a field may be left out. */
enum class Presence { kRequired, kOptional };

/** Reads the fields of one JSON object and reports every fault with its place.

    A field that is missing or faulty leaves the target unchanged.

    @see Findings, ParseJsonObject
*/
class ObjectReader {
 public:
  /** Longest text accepted unless a field names another limit, in bytes. */
  static constexpr size_t kDefaultMaxStringBytes = 1024;

  /** @param value     the object; a value of another type is a finding
      @param place     JSON pointer to it; empty for the message itself
      @param findings  receives the faults
  */
  ObjectReader(const Json::Value& value, std::string place, Findings& findings);

  /** Reads a text.

      @param field     name
      @param presence  whether it may be left out; a required text is not empty
      @param out       receives the text
      @param max       longest text, in bytes
  */
  void ReadString(const char* field,
                  Presence presence,
                  std::string& out,
                  size_t max = kDefaultMaxStringBytes);

  /** Reads a whole number between two bounds, both included. */
  void ReadNumber(const char* field,
                  Presence presence,
                  int64_t least,
                  int64_t greatest,
                  int64_t& out);

  /** Reads an unsigned 64-bit number. */
  void ReadUint64(const char* field, Presence presence, uint64_t& out);

  /** Reads true or false. */
  void ReadBool(const char* field, Presence presence, bool& out);

  /** Reads a time in whole milliseconds.

      @param field     name, ending in _ms
      @param presence  whether it may be left out
      @param greatest  longest time
      @param out       receives the time
  */
  void ReadMilliseconds(const char* field,
                        Presence presence,
                        Duration greatest,
                        Duration& out);

  /** Reads one of several words.

      @param field     name
      @param presence  whether it may be left out
      @param choose    takes the word; returns false if it is not known
      @param choices   the words, for the finding
  */
  void ReadEnum(const char* field,
                Presence presence,
                const std::function<bool(std::string_view)>& choose,
                std::string_view choices);

  /** Reads an object.

      @param field     name
      @param presence  whether it may be left out
      @param read      takes a reader of the object
  */
  void ReadObject(const char* field,
                  Presence presence,
                  const std::function<void(ObjectReader&)>& read);

  /** Reads a list of objects.

      @param field     name
      @param presence  whether it may be left out
      @param max       most entries
      @param read      takes a reader of each entry, in order
  */
  void ReadObjectArray(const char* field,
                       Presence presence,
                       size_t max,
                       const std::function<void(ObjectReader&)>& read);

  /** Reads a list of texts.

      @param field     name
      @param presence  whether it may be left out
      @param max       most entries
      @param read      takes each text, in order
  */
  void ReadStringArray(const char* field,
                       Presence presence,
                       size_t max,
                       const std::function<void(const std::string&)>& read);

  /** @param field  name  @returns whether the object has it */
  bool Has(const char* field) const;

  /** Reports a fault of a field. */
  void AddFinding(const char* field, Error code, std::string_view message);

  /** Reports every field that was not read; called last. */
  void RejectUnknownFields();

 private:
  const Json::Value* FindField(const char* field, Presence presence);
  const Json::Value* FindArray(const char* field,
                               Presence presence,
                               size_t max);

  const Json::Value& value_;
  std::string place_;
  Findings& findings_;
  std::set<std::string> known_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_OBJECT_READER_H_
