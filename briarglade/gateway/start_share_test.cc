// Tests of a node's share of the room.

#include "briarglade/gateway/start_share.h"

#include <doctest/doctest.h>
#include <vector>

namespace briarglade {
namespace {

constexpr Millis kReportAge = Millis(400);

// Starts all that may be started at this time.
uint32_t StartAll(StartShare& aShare, Millis aNow, const ModelLoads& aLoads)
{
  aShare.Update(aNow, kReportAge, aLoads);
  uint32_t started = 0;
  while (aShare.MayStart(false) && started < 1'000) {
    aShare.RecordStarted();
    ++started;
  }
  return started;
}

// Guards against nodes that all fill the same room before any of them knows of
// the others' starts.
TEST_CASE("nodes that see the same room together fill it once")
{
  constexpr uint32_t kNodes = 65;
  ModelLoads loads;
  loads.m_own = 6;
  loads.m_all = kNodes * 6;
  loads.m_limit = loads.m_all;
  loads.m_nodes = kNodes;
  std::vector<StartShare> nodes(kNodes);
  uint32_t started = 0;
  for (StartShare& node : nodes) {
    started += StartAll(node, Millis(1'000), loads);
  }
  CHECK(started == 0);
  loads.m_limit = loads.m_all + 130;
  for (int at = 1'000; at <= 1'400; at += 50) {
    for (StartShare& node : nodes) {
      started += StartAll(node, Millis(at), loads);
    }
  }
  // Each node may exceed its part by less than one start.
  CHECK(started >= 130);
  CHECK(started <= 130 + kNodes);
}

// Guards against groups that are idle while the share of a full fleet is used.
TEST_CASE("without room a node starts what it has ended, and no more")
{
  ModelLoads loads;
  loads.m_own = 6;
  loads.m_all = 390;
  loads.m_limit = 390;
  loads.m_nodes = 65;
  StartShare share;
  StartAll(share, Millis(1'000), loads);
  CHECK(StartAll(share, Millis(9'000), loads) == 0);
  for (int i = 1; i <= 20; ++i) {
    share.RecordEnded();
    CHECK(StartAll(share, Millis(9'000 + i), loads) == 1);
  }
}

// Guards against traffic at few nodes that is held to the share of one node of
// many.
TEST_CASE("a node with all the traffic has all the room")
{
  ModelLoads loads;
  loads.m_own = 100;
  loads.m_all = 100;
  loads.m_limit = 300;
  loads.m_nodes = 65;
  StartShare share;
  CHECK(StartAll(share, Millis(1'000), loads) >= 200);
}

// Guards against late requests that take every start, so that each new request
// is late too.
TEST_CASE("late requests leave some starts to those that are not late")
{
  ModelLoads loads;
  loads.m_own = 6;
  loads.m_all = 390;
  loads.m_limit = 390;
  loads.m_nodes = 65;
  StartShare share;
  share.Update(Millis(1'000), kReportAge, loads);
  share.RecordEnded();
  CHECK(share.MayStart(false));
  CHECK_FALSE(share.MayStart(true));
  share.RecordEnded();
  share.RecordEnded();
  CHECK(share.MayStart(true));
}

TEST_CASE("what exceeds the limit is worked off before anything starts")
{
  ModelLoads loads;
  loads.m_own = 100;
  loads.m_all = 100;
  loads.m_limit = 90;
  StartShare share;
  CHECK(StartAll(share, Millis(1'000), loads) == 0);
  share.RecordEnded();
  CHECK_FALSE(share.MayStart(false));
}

} // namespace
} // namespace briarglade
