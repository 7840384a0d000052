#include "telemetry/events/event_log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace magnoliareel {
namespace {

std::string FormatLine(const EventDescription& description,
                       std::initializer_list<EventField> fields) {
  std::string buf =
      "E" + std::to_string(static_cast<int>(description.event)) + " ";
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

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  const EventDescription& description = DescribeEvent(event);
  const std::string line = FormatLine(description, fields);
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
