// One event for the structured log, as data. The shell writes it as one line of
// key=value pairs and keeps the latest ones for `briarglade explain`.
//
// Example:
//   effects.push_back(LogEvent{ LogLevel::Info, "group-reformed",
//     { { "group", group.Value() }, { "reason", "member-dead" } } });

#pragma once

#include <string>
#include <vector>

namespace briarglade {

enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error
};

// One key=value pair. Keys are lower-case words joined by hyphens; the standard
// ones are request, account, group, host, node, zone, code and reason.
struct LogField
{
  std::string m_key;
  std::string m_value;
};

struct LogEvent
{
  LogLevel m_level = LogLevel::Info;
  // What happened, such as "zone-out-accepted".
  std::string m_event;
  std::vector<LogField> m_fields;
};

} // namespace briarglade
