// The structured log: one line of key=value pairs for each event, on standard
// output or standard error, written by log4cplus.
//
// Example:
//   Log log(NodeId("node-1"), LogLevel::Info);
//   log.Write(LogEvent{ LogLevel::Info, "zone-out", { { "zone", "kushiro" } }
//   });

#pragma once

#include <deque>
#include <string>

#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"

namespace briarglade {

// Returns "key=value", the value quoted where it needs it.
std::string FormatLogField(const LogField& aField);

// Returns the level of a name such as "info", or Info for an unknown one.
LogLevel ParseLogLevel(const std::string& aName);

// Where the lines go.
enum class LogStream
{
  Error,
  Output
};

class Log
{
public:
  // Writes events of the level and above. The node names itself in each line.
  Log(NodeId aNode, LogLevel aLevel, LogStream aStream = LogStream::Error);

  // Writes one line and remembers the event for Find().
  void Write(const LogEvent& aEvent);

  // Returns the remembered lines in which some field has the value, oldest
  // first.
  std::vector<std::string> Find(const std::string& aValue) const;

private:
  NodeId m_node;
  LogLevel m_level;
  // The latest events, bounded.
  std::deque<std::string> m_recent;
};

} // namespace briarglade
