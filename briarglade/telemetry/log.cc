// The log on log4cplus.

#include "briarglade/telemetry/log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <unistd.h>
#include <utility>

namespace briarglade {

namespace {

constexpr size_t kRememberedEvents = 4096;
constexpr char kLinePattern[] = "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n";

log4cplus::LogLevel ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::Logger& LibraryLogger()
{
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

// Writes lines to a descriptor without ever waiting for its reader: a line that
// doesn't fit is dropped, and the next one that fits says how many were.
class NonBlockingAppender : public log4cplus::Appender
{
public:
  explicit NonBlockingAppender(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
    const int flags = fcntl(aDescriptor, F_GETFL);
    if (flags >= 0) {
      fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~NonBlockingAppender() override { destructorImpl(); }
  NonBlockingAppender(const NonBlockingAppender&) = delete;
  NonBlockingAppender& operator=(const NonBlockingAppender&) = delete;

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    std::string line = formatEvent(aEvent);
    if (m_dropped > 0) {
      line = "event=log-lines-dropped count=" + std::to_string(m_dropped) +
             "\n" + line;
    }
    const ssize_t written = ::write(m_descriptor, line.data(), line.size());
    m_dropped = written < 0 ? m_dropped + 1 : 0;
  }

private:
  int m_descriptor;
  uint64_t m_dropped = 0;
};

// Lets the library write to one stream only.
void ChooseStream(LogStream aStream)
{
  log4cplus::SharedAppenderPtr appender;
  if (aStream == LogStream::Output) {
    appender = new NonBlockingAppender(STDOUT_FILENO);
  } else {
    appender = new log4cplus::ConsoleAppender(true, true);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLinePattern));
  LibraryLogger().removeAllAppenders();
  LibraryLogger().addAppender(appender);
}

bool NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \t\r\n\"=") != std::string::npos;
}

} // namespace

std::string FormatLogField(const LogField& aField)
{
  if (!NeedsQuotes(aField.m_value)) {
    return aField.m_key + "=" + aField.m_value;
  }
  std::string quoted = aField.m_key + "=\"";
  for (const char letter : aField.m_value) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += (letter == '\n' || letter == '\r') ? ' ' : letter;
  }
  return quoted + "\"";
}

LogLevel ParseLogLevel(const std::string& aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "warn") {
    return LogLevel::Warn;
  }
  if (aName == "error") {
    return LogLevel::Error;
  }
  return LogLevel::Info;
}

Log::Log(NodeId aNode, LogLevel aLevel, LogStream aStream)
  : m_node(std::move(aNode))
  , m_level(aLevel)
{
  ChooseStream(aStream);
  LibraryLogger().setLogLevel(ToLibraryLevel(aLevel));
}

void Log::Write(const LogEvent& aEvent)
{
  if (aEvent.m_level < m_level) {
    return;
  }
  std::string line = FormatLogField({ "event", aEvent.m_event });
  line += " " + FormatLogField({ "node", m_node.Value() });
  for (const LogField& field : aEvent.m_fields) {
    line += " " + FormatLogField(field);
  }
  LibraryLogger().log(ToLibraryLevel(aEvent.m_level), line);
  m_recent.push_back(std::move(line));
  if (m_recent.size() > kRememberedEvents) {
    m_recent.pop_front();
  }
}

std::vector<std::string> Log::Find(const std::string& aValue) const
{
  std::vector<std::string> found;
  for (const std::string& line : m_recent) {
    const std::string padded = line + " ";
    if (padded.find("=" + aValue + " ") != std::string::npos) {
      found.push_back(line);
    }
  }
  return found;
}

} // namespace briarglade
