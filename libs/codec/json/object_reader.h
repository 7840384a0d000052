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

/** Tells whether a field is required. */
enum class Presence { kRequired, kOptional };

/** Reads and validates the fields of a JSON object and reports every fault with
    a JSON pointer to its field.

    A field that is missing or invalid leaves its output parameter unchanged.

    @see Findings, ParseJsonObject
*/
class ObjectReader {
 public:
  /** Default size limit of strings, in bytes. */
  static constexpr size_t kDefaultMaxStringBytes = 1024;

  /** Constructs a reader. A value that is not an object is a finding.

      @param value     object to read; must outlive the reader
      @param pointer   JSON pointer to the object; empty for the whole message
      @param findings  receives the faults; must outlive the reader
  */
  ObjectReader(const Json::Value& value,
               std::string pointer,
               Findings& findings);

  /** Reads a string.

      @param field     name of the field
      @param presence  whether the field is required; a required string must not
                       be empty
      @param out       receives the string
      @param max       size limit, in bytes
  */
  void ReadString(const char* field,
                  Presence presence,
                  std::string& out,
                  size_t max = kDefaultMaxStringBytes);

  /** Reads a signed integer.

      @param field     name of the field
      @param presence  whether the field is required
      @param min       smallest accepted value
      @param max       largest accepted value
      @param out       receives the integer
  */
  void ReadNumber(const char* field,
                  Presence presence,
                  int64_t min,
                  int64_t max,
                  int64_t& out);

  /** Reads an unsigned 64-bit integer.

      @param field     name of the field
      @param presence  whether the field is required
      @param out       receives the integer
  */
  void ReadUint64(const char* field, Presence presence, uint64_t& out);

  /** Reads a boolean.

      @param field     name of the field
      @param presence  whether the field is required
      @param out       receives the value
  */
  void ReadBool(const char* field, Presence presence, bool& out);

  /** Reads a duration as an integral number of milliseconds.

      @param field     name of the field, ending in _ms
      @param presence  whether the field is required
      @param max       longest accepted duration
      @param out       receives the duration
  */
  void ReadMilliseconds(const char* field,
                        Presence presence,
                        Duration max,
                        Duration& out);

  /** Reads an enumerated value.

      @param field     name of the field
      @param presence  whether the field is required
      @param parse     called with the string; returns false if it is not one of
                       the accepted values
      @param choices   accepted values, for the text of the finding
  */
  void ReadEnum(const char* field,
                Presence presence,
                const std::function<bool(std::string_view)>& parse,
                std::string_view choices);

  /** Reads an object.

      @param field     name of the field
      @param presence  whether the field is required
      @param read      called with a reader of the object
  */
  void ReadObject(const char* field,
                  Presence presence,
                  const std::function<void(ObjectReader&)>& read);

  /** Reads an array of objects.

      @param field     name of the field
      @param presence  whether the field is required
      @param max       maximum number of elements
      @param read      called with a reader of each element, in order
  */
  void ReadObjectArray(const char* field,
                       Presence presence,
                       size_t max,
                       const std::function<void(ObjectReader&)>& read);

  /** Reads an array of strings.

      @param field     name of the field
      @param presence  whether the field is required
      @param max       maximum number of elements
      @param read      called with each string, in order
  */
  void ReadStringArray(const char* field,
                       Presence presence,
                       size_t max,
                       const std::function<void(const std::string&)>& read);

  /** @param field  name of a field  @returns whether the object has the field
   */
  bool Has(const char* field) const;

  /** Reports a fault of a field.

      @param field    name of the field
      @param code     kind of the fault
      @param message  description of the fault
  */
  void AddFinding(const char* field, Error code, std::string_view message);

  /** Reports every field that was not read. Call it after all fields were read.
   */
  void RejectUnknownFields();

 private:
  const Json::Value* FindField(const char* field, Presence presence);
  const Json::Value* FindArray(const char* field,
                               Presence presence,
                               size_t max);

  const Json::Value& value_;
  std::string pointer_;
  Findings& findings_;
  std::set<std::string> known_fields_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_JSON_OBJECT_READER_H_
