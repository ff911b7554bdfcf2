// Tests of the log: what it does to the process that writes it.

#include "briarglade/telemetry/log.h"

#include <cstddef>
#include <doctest/doctest.h>
#include <filesystem>
#include <iterator>

namespace briarglade {
namespace {

size_t CountThreads()
{
  const std::filesystem::directory_iterator threads("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(threads), end(threads)));
}

TEST_CASE("a process that writes its log has one thread, so that its exit "
          "waits for no other")
{
  Log log(NodeId("node-1"), LogLevel::Info);
  log.Write(LogEvent{ LogLevel::Info, "node-started", {} });
  CHECK(CountThreads() == 1);
}

} // namespace
} // namespace briarglade
