// Tests of the tracking of servers that have reported shutting down.

#include "briarglade/entry/leaving_servers.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

const ServerRun kFirstRun{ HostId("s"), BootId("1") };
const ServerRun kNextRun{ HostId("s"), BootId("2") };

TEST_CASE("a leaving server is new once, and only that run is leaving")
{
  LeavingServers leaving;
  CHECK(leaving.Add(Millis(1'000), kFirstRun));
  CHECK_FALSE(leaving.Add(Millis(2'000), kFirstRun));
  CHECK(leaving.Contains(kFirstRun));
  CHECK_FALSE(leaving.Contains(kNextRun));
  CHECK(leaving.Add(Millis(3'000), kNextRun));
  CHECK(leaving.Contains(kNextRun));
}

TEST_CASE("servers that must have exited are removed")
{
  LeavingServers leaving;
  leaving.Add(Millis(1'000), kFirstRun);
  leaving.RemoveExpired(Millis(200'000));
  CHECK(leaving.Contains(kFirstRun));
  leaving.RemoveExpired(Millis(301'000));
  CHECK_FALSE(leaving.Contains(kFirstRun));
}

} // namespace
} // namespace briarglade
