// Tests of the detection of requests that crash backend servers.

#include "briarglade/gateway/harm_detector.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

using Traits = std::vector<RequestTrait>;

RequestTrait Part(uint64_t aId)
{
  return RequestTrait{ TraitKind::PromptPart, aId };
}

const RequestTrait kHarmful = Part(7);
const RequestTrait kFirst = Part(1);
const RequestTrait kOther = Part(2);

constexpr Millis kSecond = Millis(1'000);
constexpr Millis kHour = Millis(3'600'000);

// A detector, and the servers that crash.
struct World
{
  HarmDetector m_detector;
  Millis m_now{ 100'000 };
  int m_servers = 0;
  uint64_t m_requests = 1'000;

  void Wait(Millis aTime)
  {
    const Millis end = m_now + aTime;
    for (; m_now < end; m_now += Millis(50)) {
      m_detector.Tick(m_now, 1, 0);
    }
  }
  // Returns the traits of a new request.
  Traits Request(Traits aParts)
  {
    aParts.insert(aParts.begin(),
                  RequestTrait{ TraitKind::Request, ++m_requests });
    return aParts;
  }
  ServerRun NextServer()
  {
    return ServerRun{ HostId("s" + std::to_string(++m_servers)), BootId("1") };
  }
  // Crashes a server while requests with these parts are at it.
  void Crash(const std::vector<Traits>& aRequests,
             const DomainId& aDomain = DomainId())
  {
    const ServerRun server = NextServer();
    for (const Traits& parts : aRequests) {
      m_detector.OnBroken(m_now, Request(parts), server);
    }
    m_detector.OnServerLost(m_now, server, aDomain);
  }
  void Survive(const Traits& aParts)
  {
    m_detector.OnSurvived(m_now, Request(aParts));
  }
  bool IsRefused(const Traits& aParts)
  {
    return m_detector.RefusedFor(m_now, Request(aParts)) > Millis();
  }
};

TEST_CASE("a part is refused after three crashes, its bystanders never")
{
  World world;
  for (int crash = 0; crash < 3; ++crash) {
    CHECK_FALSE(world.IsRefused({ kHarmful }));
    world.Crash({ { kHarmful }, { kOther } });
    world.Wait(Millis(300));
    world.Survive({ kOther });
  }
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kHarmful }));
  CHECK_FALSE(world.IsRefused({ kOther }));
}

TEST_CASE("a part that survives between crashes is not refused")
{
  World world;
  for (int crash = 0; crash < 20; ++crash) {
    world.Crash({ { kOther } });
    world.Wait(kSecond);
    world.Survive({ kOther });
    world.Wait(kSecond);
    CHECK_FALSE(world.IsRefused({ kOther }));
  }
}

TEST_CASE("sound requests that share a part with harmful ones are not refused "
          "while it is unknown which part is harmful")
{
  World world;
  for (int crash = 0; crash < 3; ++crash) {
    world.Crash({ { kFirst, kHarmful }, { kFirst, Part(10 + crash) } });
  }
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kFirst, kHarmful }));
  CHECK_FALSE(world.IsRefused({ kFirst, kOther }));
  SUBCASE("the other part survives")
  {
    world.Survive({ kFirst, kOther });
    world.Wait(kSecond);
    CHECK(world.IsRefused({ kHarmful }));
  }
  SUBCASE("the harmful part crashes servers without the other one")
  {
    for (int crash = 0; crash < 3; ++crash) {
      CHECK_FALSE(world.IsRefused({ kHarmful }));
      world.Crash({ { kHarmful } });
    }
    world.Wait(kSecond);
    CHECK(world.IsRefused({ kHarmful }));
    CHECK_FALSE(world.IsRefused({ kFirst, kOther }));
  }
}

TEST_CASE("crashes that another part explains better are no evidence")
{
  World world;
  // Within a second nothing can survive.
  for (int crash = 0; crash < 6; ++crash) {
    world.Crash(crash < 3 ? std::vector<Traits>{ { kHarmful }, { kOther } }
                          : std::vector<Traits>{ { kHarmful } });
  }
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kHarmful }));
  CHECK_FALSE(world.IsRefused({ kOther }));
}

TEST_CASE("sound requests that share all of a long prompt but its harmful part "
          "are not refused")
{
  World world;
  Traits shared;
  for (uint64_t part = 100; part < 130; ++part) {
    shared.push_back(Part(part));
  }
  Traits harmful = shared;
  harmful.push_back(kHarmful);
  for (int crash = 0; crash < 4; ++crash) {
    world.Crash({ harmful });
  }
  world.Wait(kSecond);
  CHECK(world.IsRefused(harmful));
  CHECK_FALSE(world.IsRefused(shared));
}

TEST_CASE("a request that was a bystander at some crashes of a harmful part is "
          "not refused meanwhile")
{
  World world;
  const Traits bystander = world.Request({ kOther });
  for (int crash = 0; crash < 5; ++crash) {
    const ServerRun server = world.NextServer();
    world.m_detector.OnBroken(
      world.m_now, world.Request({ kFirst, kHarmful }), server);
    if (crash >= 2) {
      world.m_detector.OnBroken(world.m_now, bystander, server);
    }
    world.m_detector.OnServerLost(world.m_now, server, DomainId());
    CHECK(world.m_detector.RefusedFor(world.m_now, bystander) == Millis());
  }
}

TEST_CASE("evidence expires")
{
  World world;
  world.Crash({ { kOther } });
  world.Crash({ { kOther } });
  CHECK(world.m_detector.SuspectCount() > 0);
  world.m_now += Millis(601'000);
  world.m_detector.Tick(world.m_now, 1, 0);
  CHECK(world.m_detector.SuspectCount() == 0);
}

TEST_CASE("broken exchanges are forgotten with time, and the oldest when there "
          "are too many")
{
  World world;
  const ServerRun late = world.NextServer();
  world.m_detector.OnBroken(world.m_now, world.Request({ kOther }), late);
  world.Wait(Millis(60'000));
  world.m_detector.OnServerLost(world.m_now, late, DomainId());
  CHECK(world.m_detector.SuspectCount() == 0);

  const ServerRun first = world.NextServer();
  world.m_detector.OnBroken(world.m_now, world.Request({ kOther }), first);
  const ServerRun other = world.NextServer();
  for (int i = 0; i < 1'024; ++i) {
    world.m_detector.OnBroken(world.m_now, world.Request({}), other);
  }
  world.m_detector.OnServerLost(world.m_now, first, DomainId());
  CHECK(world.m_detector.SuspectCount() == 0);
}

TEST_CASE("two harmful parts are refused, though one crashes more servers")
{
  World world;
  for (int crash = 0; crash < 6; ++crash) {
    world.Crash({ { kHarmful } });
    if (crash % 2 == 0) {
      world.Crash({ { kOther } });
    }
  }
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kHarmful }));
  CHECK(world.IsRefused({ kOther }));
}

TEST_CASE("a part of all harmful requests is not refused, though it is also at "
          "crashes without them")
{
  World world;
  for (int crash = 0; crash < 5; ++crash) {
    world.Crash({ { kFirst, kHarmful } });
    world.Crash({ { kFirst, kOther } });
  }
  world.Crash({ { kFirst, Part(3) } });
  world.Crash({ { kFirst, Part(4) } });
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kFirst, kHarmful }));
  CHECK(world.IsRefused({ kFirst, kOther }));
  CHECK_FALSE(world.IsRefused({ kFirst, Part(5) }));
}

TEST_CASE("servers of one domain that are lost together count as one crash")
{
  for (const bool isSameTime : { true, false }) {
    CAPTURE(isSameTime);
    World world;
    for (int crash = 0; crash < 4; ++crash) {
      world.Crash({ { kOther } }, DomainId("d1"));
      world.Wait(isSameTime ? Millis(50) : Millis(400));
    }
    world.Wait(kSecond);
    CHECK(world.IsRefused({ kOther }) != isSameTime);
  }
}

TEST_CASE("exchanges that break off at servers that still run are no evidence")
{
  World world;
  for (int reset = 0; reset < 6; ++reset) {
    const ServerRun server = world.NextServer();
    CHECK(world.m_detector.OnBroken(
      world.m_now, world.Request({ kOther }), server));
    world.m_detector.OnServerAlive(server);
    world.Wait(kSecond);
    // The end of another life of the server, later.
    world.m_detector.OnServerLost(world.m_now, server, DomainId());
  }
  world.Wait(kSecond);
  CHECK_FALSE(world.IsRefused({ kOther }));
}

TEST_CASE("the same request is refused at once after three crashes")
{
  World world;
  const Traits request = world.Request({ kFirst });
  for (int crash = 0; crash < 3; ++crash) {
    CHECK(world.m_detector.RefusedFor(world.m_now, request) == Millis());
    const ServerRun server = world.NextServer();
    world.m_detector.OnBroken(world.m_now, request, server);
    world.m_detector.OnServerLost(world.m_now, server, DomainId());
  }
  CHECK(world.m_detector.RefusedFor(world.m_now, request) > Millis());
  CHECK_FALSE(world.IsRefused({ kFirst }));
}

TEST_CASE(
  "a part is refused though one of its requests has crashed most of the "
  "servers")
{
  World world;
  const Traits request = world.Request({ kFirst, kHarmful });
  for (int crash = 0; crash < 3; ++crash) {
    const ServerRun server = world.NextServer();
    world.m_detector.OnBroken(world.m_now, request, server);
    world.m_detector.OnServerLost(world.m_now, server, DomainId());
  }
  world.Crash({ { kFirst, kHarmful } });
  world.Crash({ { kFirst, kHarmful } });
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kFirst, kHarmful }));
}

TEST_CASE("a refusal ends; one more crash refuses the part for longer, a "
          "survival clears it")
{
  World world;
  for (int crash = 0; crash < 3; ++crash) {
    world.Crash({ { kHarmful } });
  }
  world.Wait(kSecond);
  const Millis first = world.m_detector.RefusedFor(world.m_now, { kHarmful });
  CHECK(first > Millis(590'000));
  world.m_detector.TakeChanges();
  world.Wait(first + kSecond);
  REQUIRE_FALSE(world.IsRefused({ kHarmful }));
  const std::vector<RefusalChange> changes = world.m_detector.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_trait == kHarmful);
  CHECK_FALSE(changes[0].m_isRefused);
  SUBCASE("still harmful")
  {
    world.Crash({ { kHarmful } });
    world.Wait(kSecond);
    CHECK(world.m_detector.RefusedFor(world.m_now, { kHarmful }) >
          first + first);
  }
  SUBCASE("sound again")
  {
    world.Survive({ kHarmful });
    world.Wait(kSecond);
    world.Crash({ { kHarmful } });
    world.Crash({ { kHarmful } });
    world.Wait(kSecond);
    CHECK_FALSE(world.IsRefused({ kHarmful }));
  }
}

TEST_CASE("a part is let through three times a day at most")
{
  World world;
  size_t crashes = 0;
  const Millis end = world.m_now + Millis(24 * kHour.Count());
  while (world.m_now < end) {
    if (!world.IsRefused({ kHarmful })) {
      world.Crash({ { kHarmful } });
      ++crashes;
    }
    world.m_now += kSecond;
    world.m_detector.Tick(world.m_now, 1, 0);
  }
  constexpr size_t kToLearn = 4;
  CHECK(crashes <= kToLearn + 3);
}

TEST_CASE("a harmful part is found however many other parts come, in bounded "
          "memory")
{
  World world;
  uint64_t next = 10'000;
  for (int crash = 0; crash < 3; ++crash) {
    std::vector<Traits> requests = { { kHarmful } };
    for (int i = 0; i < 60; ++i) {
      requests.push_back({ Part(++next), Part(++next) });
    }
    world.Crash(requests);
    for (int i = 0; i < 5'000; ++i) {
      world.Survive({ Part(++next) });
    }
    // Servers that crash for other reasons.
    for (int other = 0; other < 20; ++other) {
      world.Crash({ requests.begin() + 1, requests.begin() + 20 });
    }
    CHECK(world.m_detector.SuspectCount() <= 1'024);
  }
  world.Wait(kSecond);
  CHECK(world.IsRefused({ kHarmful }));
}

TEST_CASE("refusals and clearances of other nodes are applied")
{
  World found;
  for (int crash = 0; crash < 3; ++crash) {
    found.Crash({ { kFirst, kHarmful } });
  }
  found.Wait(Millis(3'000));
  const std::vector<TraitRefusal> refusals =
    found.m_detector.Refusals(found.m_now);
  REQUIRE(refusals.size() == 2);

  World other;
  SUBCASE("a node that has just started")
  {
    for (const TraitRefusal& refusal : refusals) {
      other.m_detector.OnRefusal(other.m_now, refusal);
    }
    CHECK(other.IsRefused({ kFirst, kHarmful }));
    CHECK_FALSE(other.IsRefused({ kFirst, kOther }));
    // It passes on what it was told.
    other.Wait(Millis(3'000));
    CHECK(other.m_detector.Refusals(other.m_now).size() == 2);
    other.m_detector.OnClearance(other.m_now,
                                 TraitClearance{ kFirst, Millis() });
    CHECK(other.IsRefused({ kHarmful }));
    CHECK_FALSE(other.IsRefused({ kFirst }));
    other.m_detector.OnClearance(other.m_now,
                                 TraitClearance{ kHarmful, Millis() });
    CHECK_FALSE(other.IsRefused({ kFirst, kHarmful }));
  }
  SUBCASE("a node that is told of one of the two only, as a list is bounded")
  {
    for (const TraitRefusal& refusal : refusals) {
      if (refusal.m_trait == kFirst) {
        other.m_detector.OnRefusal(other.m_now, refusal);
      }
    }
    CHECK(other.IsRefused({ kFirst, kHarmful }));
    CHECK_FALSE(other.IsRefused({ kFirst, kOther }));
  }
  SUBCASE("a node that is told of the harmful part after the other survived")
  {
    other.m_now += Millis(3'000);
    other.Survive({ kFirst, kOther });
    for (const TraitRefusal& refusal : refusals) {
      if (refusal.m_trait == kHarmful) {
        other.m_detector.OnRefusal(other.m_now, refusal);
      }
    }
    CHECK(other.IsRefused({ kHarmful }));
  }
  SUBCASE("a node that has seen one crash since it started")
  {
    other.Crash({ { kFirst, kHarmful } });
    for (const TraitRefusal& refusal : refusals) {
      other.m_detector.OnRefusal(other.m_now, refusal);
    }
    CHECK(other.IsRefused({ kFirst, kHarmful }));
    CHECK_FALSE(other.IsRefused({ kFirst, kOther }));
  }
  SUBCASE("a node that has seen the part survive since objects")
  {
    other.Survive({ kFirst, kHarmful });
    for (const TraitRefusal& refusal : refusals) {
      other.m_detector.OnRefusal(other.m_now, refusal);
    }
    CHECK_FALSE(other.IsRefused({ kFirst, kHarmful }));
    CHECK_FALSE(other.m_detector.TakeNotices().m_clearances.empty());
  }
  SUBCASE("an older survival is no objection")
  {
    other.Survive({ kFirst, kHarmful });
    other.Wait(Millis(5'000));
    for (const TraitRefusal& refusal : refusals) {
      other.m_detector.OnRefusal(other.m_now, refusal);
    }
    CHECK(other.IsRefused({ kFirst, kHarmful }));
  }
}

} // namespace
} // namespace briarglade
