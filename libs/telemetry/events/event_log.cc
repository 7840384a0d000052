#include "telemetry/events/event_log.h"

#include <easylogging++.h>

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
    const bool quoted =
        value.empty() || value.find_first_of(" \n\"") != std::string::npos;
    if (!quoted) {
      buf += value;
      continue;
    }
    buf += '"';
    for (const char c : value) {
      if (c == '\n') {
        buf += "\\n";
      } else {
        buf += c == '"' ? '\'' : c;
      }
    }
    buf += '"';
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
