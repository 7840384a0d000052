#include "codec/json/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace magnoliareel {
namespace {

constexpr int kMaxNestingDepth = 32;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxNestingDepth;
  return builder;
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

}  // namespace

Json::Value ParseJsonObject(std::string_view text, Findings& findings) {
  static const Json::CharReaderBuilder builder = MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string error;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value,
                       &error)) {
      findings.Add("", Error::kMalformedMessage, error);
      return {};
    }
  } catch (const Json::Exception& exception) {
    findings.Add("", Error::kMalformedMessage, exception.what());
    return {};
  }
  if (!value.isObject()) {
    findings.Add("", Error::kWrongType, "expected an object");
    return {};
  }
  return value;
}

std::string FormatJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = MakeWriterBuilder();
  return Json::writeString(builder, value);
}

}  // namespace magnoliareel
