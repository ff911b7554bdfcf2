// `briarglade serve`: reads the settings that the platform lays, then runs an
// entry node.

#include <csignal>
#include <cstdio>

#include "briarglade/cli/commands.h"
#include "briarglade/entry/entry_node.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/telemetry/log.h"
#include "platform/binding.h"
#include "platform/settings.h"

namespace briarglade {

namespace {

// Idle connections to servers that no one states a time for.
constexpr Millis kIdleLifetime = Millis(4'000);
// Descriptors that are left for listeners, files and callers.
constexpr size_t kReservedDescriptors = 600;
// The part of the descriptors for servers where there are too few to leave so
// many.
constexpr size_t kFewDescriptorsDivisor = 4;
// The part of the memory that held answers may take is one divided by this: an
// answer that grows or is handed to its caller is held twice for a moment, and
// so is what the allocator keeps of those that were freed.
constexpr size_t kAnswersMemoryDivisor = 4;

HttpClientLimits ClientLimits(const EntrySettings& aSettings)
{
  HttpClientLimits limits;
  limits.m_idleLifetime = kIdleLifetime;
  limits.m_maxHeldBytes = aSettings.m_memoryBytes / kAnswersMemoryDivisor;
  limits.m_maxConnections =
    aSettings.m_fileDescriptors > 2 * kReservedDescriptors
      ? aSettings.m_fileDescriptors / 2 - kReservedDescriptors / 2
      : aSettings.m_fileDescriptors / kFewDescriptorsDivisor;
  return limits;
}

// Reads the settings file again. What is bound at the start stays as it is.
void Reload(EntryNode& aNode)
{
  const Result<EntrySettings> settings = platform::LoadSettings();
  const Error* error = GetError(settings);
  aNode.WriteLog(LogEvent{
    error == nullptr ? LogLevel::Info : LogLevel::Warn,
    error == nullptr ? "settings-read" : "settings-unreadable",
    { { "problem", error == nullptr ? std::string() : error->m_detail } } });
}

// Runs the node until its loop ends. Returns after everything of it has been
// destroyed.
ExitCode RunNodeUntilEnd(const EntrySettings& aSettings, Log& aLog)
{
  EventLoop loop;
  HttpClient client(loop, ClientLimits(aSettings));
  EntryNode node(
    loop, client, aSettings, platform::MakeBinding(client, aSettings.m_store));
  if (const std::optional<Error> error = node.Start()) {
    std::fprintf(stderr, "briarglade: %s\n", error->m_detail.c_str());
    return ExitCode::Failed;
  }
  const auto stop = [&node, &loop] {
    node.BeginShutdown(loop.EarliestSignalTime());
  };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  loop.OnSignal(SIGHUP, [&node] { Reload(node); });
  loop.Run();
  aLog.Write(LogEvent{ LogLevel::Info, "loop-ended", {} });
  return ExitCode::Ok;
}

} // namespace

ExitCode RunServe()
{
  const Result<EntrySettings> read = platform::LoadSettings();
  if (const Error* error = GetError(read)) {
    std::fprintf(stderr, "briarglade: %s\n", error->m_detail.c_str());
    return ExitCode::Invalid;
  }
  const auto& settings = std::get<EntrySettings>(read);
  std::signal(SIGPIPE, SIG_IGN);
  // Outlives the node, so that a slow exit shows which part of it was slow.
  Log log(settings.m_node, LogLevel::Info, LogStream::Output);
  const ExitCode code = RunNodeUntilEnd(settings, log);
  log.Write(LogEvent{ LogLevel::Info,
                      "process-exiting",
                      { { "code", std::to_string(static_cast<int>(code)) } } });
  return code;
}

} // namespace briarglade
