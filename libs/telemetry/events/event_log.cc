#include "telemetry/events/event_log.h"

#include <easylogging++.h>

#include <algorithm>
#include <chrono>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace magnoliareel {
namespace {

// Set before other threads start; only read afterwards.
LogBuffer* buffered_log = nullptr;
std::string buffered_vm;

std::string_view GetEventLevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "error";
}

bool IsPlain(char c) {
  return c > ' ' && c <= '~' && c != '"' && c != '\\' && c != '=';
}

void AppendEscaped(std::string& out, char c) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  if (c == ' ' || IsPlain(c)) {
    out += c;
  } else if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
  } else if (c == '\n') {
    out += "\\n";
  } else {
    const auto byte = static_cast<unsigned char>(c);
    out += "\\x";
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
}

void AppendValue(std::string& out, std::string_view value) {
  const bool is_cut = value.size() > kMaxLoggedValueSize;
  if (!value.empty() && !is_cut && std::ranges::all_of(value, IsPlain)) {
    out += value;
    return;
  }
  out += '"';
  for (const char c : value.substr(0, kMaxLoggedValueSize)) {
    AppendEscaped(out, c);
  }
  out += '"';
  if (is_cut) {
    out += '/';
    out += std::to_string(value.size());
  }
}

std::string FormatLine(const EventDescription& description,
                       std::initializer_list<EventField> fields) {
  std::string buf;
  buf.reserve(256);
  if (buffered_log != nullptr) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    buf += std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    buf += ' ';
    buf += buffered_vm;
    buf += ' ';
    buf += GetEventLevelName(description.level);
    buf += ' ';
  }
  buf += 'E';
  buf += std::to_string(static_cast<int>(description.event));
  buf += ' ';
  buf += description.name;
  for (const auto& [name, value] : fields) {
    buf += ' ';
    buf += name;
    buf += '=';
    AppendValue(buf, value);
  }
  return buf;
}

}  // namespace

void StartLog() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void StartBufferedLog(LogBuffer& buffer, std::string_view vm) {
  buffered_log = &buffer;
  buffered_vm = vm;
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  const EventDescription& description = DescribeEvent(event);
  const std::string line = FormatLine(description, fields);
  if (buffered_log != nullptr) {
    buffered_log->Push(line);
    return;
  }
  switch (description.level) {
    case EventLevel::kInfo:
      LOG(INFO) << line;
      return;
    case EventLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case EventLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace magnoliareel
