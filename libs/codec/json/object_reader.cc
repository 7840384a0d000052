#include "codec/json/object_reader.h"

#include <utility>

namespace magnoliareel {
namespace {

std::string EscapePointer(std::string_view name) {
  std::string buf;
  for (const char c : name) {
    if (c == '~') {
      buf += "~0";
    } else if (c == '/') {
      buf += "~1";
    } else {
      buf += c;
    }
  }
  return buf;
}

}  // namespace

ObjectReader::ObjectReader(const Json::Value& value,
                           std::string pointer,
                           Findings& findings)
    : value_(value), pointer_(std::move(pointer)), findings_(findings) {
  if (!value_.isObject()) {
    findings_.Add(pointer_, Error::kWrongType, "expected an object");
  }
}

void ObjectReader::ReadString(const char* field,
                              Presence presence,
                              std::string& out,
                              size_t max) {
  const Json::Value* value = FindField(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->isString()) {
    AddFinding(field, Error::kWrongType, "expected a text");
    return;
  }
  std::string text = value->asString();
  if (text.size() > max) {
    AddFinding(field, Error::kOutOfRange,
               "longer than " + std::to_string(max) + " bytes");
    return;
  }
  if (presence == Presence::kRequired && text.empty()) {
    AddFinding(field, Error::kOutOfRange, "must not be empty");
    return;
  }
  out = std::move(text);
}

void ObjectReader::ReadNumber(const char* field,
                              Presence presence,
                              int64_t min,
                              int64_t max,
                              int64_t& out) {
  const Json::Value* value = FindField(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->isIntegral()) {
    AddFinding(field, Error::kWrongType, "expected a whole number");
    return;
  }
  if (!value->isInt64() || value->asInt64() < min || value->asInt64() > max) {
    AddFinding(field, Error::kOutOfRange,
               "must be between " + std::to_string(min) + " and " +
                   std::to_string(max));
    return;
  }
  out = value->asInt64();
}

void ObjectReader::ReadUint64(const char* field,
                              Presence presence,
                              uint64_t& out) {
  const Json::Value* value = FindField(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->isUInt64()) {
    AddFinding(field, Error::kWrongType,
               "expected a whole number that is not negative");
    return;
  }
  out = value->asUInt64();
}

void ObjectReader::ReadBool(const char* field, Presence presence, bool& out) {
  const Json::Value* value = FindField(field, presence);
  if (value == nullptr) {
    return;
  }
  if (!value->isBool()) {
    AddFinding(field, Error::kWrongType, "expected true or false");
    return;
  }
  out = value->asBool();
}

void ObjectReader::ReadMilliseconds(const char* field,
                                    Presence presence,
                                    Duration max,
                                    Duration& out) {
  using std::chrono::milliseconds;
  int64_t n = -1;
  ReadNumber(field, presence, 0,
             std::chrono::duration_cast<milliseconds>(max).count(), n);
  if (n >= 0) {
    out = milliseconds(n);
  }
}

void ObjectReader::ReadEnum(const char* field,
                            Presence presence,
                            const std::function<bool(std::string_view)>& parse,
                            std::string_view choices) {
  std::string word;
  ReadString(field, presence, word);
  if (!word.empty() && !parse(word)) {
    AddFinding(field, Error::kOutOfRange,
               "must be one of " + std::string(choices));
  }
}

void ObjectReader::ReadObject(const char* field,
                              Presence presence,
                              const std::function<void(ObjectReader&)>& read) {
  const Json::Value* value = FindField(field, presence);
  if (value == nullptr) {
    return;
  }
  ObjectReader reader(*value, pointer_ + "/" + field, findings_);
  if (value->isObject()) {
    read(reader);
  }
}

void ObjectReader::ReadObjectArray(
    const char* field,
    Presence presence,
    size_t max,
    const std::function<void(ObjectReader&)>& read) {
  const Json::Value* array = FindArray(field, presence, max);
  if (array == nullptr) {
    return;
  }
  for (Json::ArrayIndex n = 0; n < array->size(); ++n) {
    ObjectReader reader((*array)[n],
                        pointer_ + "/" + field + "/" + std::to_string(n),
                        findings_);
    if ((*array)[n].isObject()) {
      read(reader);
    }
  }
}

void ObjectReader::ReadStringArray(
    const char* field,
    Presence presence,
    size_t max,
    const std::function<void(const std::string&)>& read) {
  const Json::Value* array = FindArray(field, presence, max);
  if (array == nullptr) {
    return;
  }
  for (Json::ArrayIndex n = 0; n < array->size(); ++n) {
    if (!(*array)[n].isString()) {
      findings_.Add(pointer_ + "/" + field + "/" + std::to_string(n),
                    Error::kWrongType, "expected a text");
      continue;
    }
    read((*array)[n].asString());
  }
}

bool ObjectReader::Has(const char* field) const {
  return value_.isObject() && value_.isMember(field);
}

void ObjectReader::AddFinding(const char* field,
                              Error code,
                              std::string_view message) {
  findings_.Add(pointer_ + "/" + field, code, message);
}

void ObjectReader::RejectUnknownFields() {
  if (!value_.isObject()) {
    return;
  }
  for (const std::string& name : value_.getMemberNames()) {
    if (!known_fields_.contains(name)) {
      findings_.Add(pointer_ + "/" + EscapePointer(name), Error::kUnknownField,
                    "no field of this name is known here");
    }
  }
}

const Json::Value* ObjectReader::FindField(const char* field,
                                           Presence presence) {
  known_fields_.insert(field);
  if (!value_.isObject()) {
    return nullptr;
  }
  const Json::Value* value =
      value_.find(field, field + std::char_traits<char>::length(field));
  if (value == nullptr && presence == Presence::kRequired) {
    AddFinding(field, Error::kMissingField, "must be given");
  }
  return value;
}

const Json::Value* ObjectReader::FindArray(const char* field,
                                           Presence presence,
                                           size_t max) {
  const Json::Value* value = FindField(field, presence);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->isArray()) {
    AddFinding(field, Error::kWrongType, "expected a list");
    return nullptr;
  }
  if (value->size() > max) {
    AddFinding(field, Error::kOutOfRange,
               "more than " + std::to_string(max) + " entries");
    return nullptr;
  }
  return value;
}

}  // namespace magnoliareel
