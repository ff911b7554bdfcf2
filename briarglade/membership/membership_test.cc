// Tests of acceptance and confirmation under faults, on virtual time.

#include "briarglade/membership/membership.h"

#include <algorithm>
#include <doctest/doctest.h>

#include "briarglade/membership/fake_region_test.h"
#include "briarglade/membership/timing.h"

namespace briarglade {
namespace {

// The bound of the brief: an accepted change is in force within this time.
constexpr Millis kInForceWithin = Millis(4'000);
const char* const kPerth = "perth-a";

// A region whose nodes have joined and hold version 1.
FakeRegion MakeRegion(size_t aCount)
{
  FakeRegion region(aCount);
  region.Run(Millis(static_cast<int64_t>(aCount) * 1'500));
  region.Apply(0, 0);
  region.Run(Millis(2'000));
  REQUIRE(region.CountConfirmed() == aCount);
  return region;
}

// Counts the nodes that hold a configuration version and may give out work.
size_t CountServing(const FakeRegion& aRegion, uint64_t aVersion)
{
  size_t count = 0;
  for (size_t i = 0; i < aRegion.m_nodes.size(); ++i) {
    const bool holds = aRegion.m_nodes[i].m_adoptedVersion == aVersion;
    count += holds && aRegion.Confirmed(i) ? 1 : 0;
  }
  return count;
}

bool HasLogged(const FakeNode& aNode, const std::string& aEvent)
{
  return std::find(aNode.m_logged.begin(), aNode.m_logged.end(), aEvent) !=
         aNode.m_logged.end();
}

const CommandAnswer& AnswerTo(FakeRegion& aRegion, const CommandId& aCommand)
{
  REQUIRE(aRegion.m_answers.count(aCommand) == 1);
  return aRegion.m_answers[aCommand];
}

TEST_CASE("nodes join one by one and a change is accepted")
{
  FakeRegion region = MakeRegion(9);
  for (const FakeNode& node : region.m_nodes) {
    CHECK(node.m_state.m_members.size() == 9);
    CHECK(node.m_adoptedVersion == 1);
  }
  const CommandId command = region.Apply(4, 1);
  region.Run(Millis(100));
  CHECK(region.CodeOf(command) == ResultCode::Ok);
  CHECK(CountServing(region, 2) == 9);
  CHECK(ListChanges(region.m_nodes[8].m_state).front().m_why == "board");
}

TEST_CASE("the table dies right after the write: every node learns it")
{
  FakeRegion region = MakeRegion(9);
  const CommandId command = region.Apply(0, 1);
  region.m_table.m_isDown = true;
  region.Run(kInForceWithin);
  CHECK(region.CodeOf(command) == ResultCode::Ok);
  CHECK(CountServing(region, 2) == 9);
  region.Run(Millis(60'000));
  CHECK(CountServing(region, 2) == 9);
}

TEST_CASE("the writer dies with the table before it told anyone")
{
  FakeRegion region = MakeRegion(9);
  const CommandId command = region.Apply(0, 1);
  region.m_table.m_isDown = true;
  region.m_nodes[0].m_isUp = false;
  region.Run(Millis(10'000));
  // It was never accepted, so serving the version before is right.
  CHECK(region.CodeOf(command) == ResultCode::Internal);
  CHECK(CountServing(region, 1) == 8);
  region.m_table.m_isDown = false;
  region.Run(kInForceWithin);
  CHECK(CountServing(region, 2) == 8);
}

TEST_CASE("a write taken whose answer is lost is settled by reading back")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_loseWriteAnswers = 1;
  const CommandId apply = region.Apply(0, 1);
  region.Run(Millis(500));
  CHECK(region.CodeOf(apply) == ResultCode::Ok);
  region.m_table.m_loseWriteAnswers = 1;
  const CommandId zone = region.Zone(1, kPerth, ZoneState::Out);
  region.Run(Millis(500));
  CHECK(region.CodeOf(zone) == ResultCode::Ok);
  CHECK(region.IsOut(4, kPerth));
}

TEST_CASE("the answer is lost and the table dies: not claimed, not forgotten")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_loseWriteAnswers = 1;
  const CommandId apply = region.Apply(0, 1);
  region.m_table.m_isDown = true;
  region.Run(kCommandTimeout + Millis(100));
  CHECK(region.CodeOf(apply) == ResultCode::TableUnavailable);
  region.m_table.m_isDown = false;
  region.Run(kInForceWithin);
  CHECK(CountServing(region, 2) == 5);
}

TEST_CASE("a node cut off from everything stops new work within the bound")
{
  FakeRegion region = MakeRegion(9);
  region.Isolate(3);
  region.Run(Millis(50));
  const CommandId command = region.Apply(0, 1);
  region.Run(Millis(100));
  CHECK(region.CodeOf(command) == ResultCode::Ok);
  region.Run(kInForceWithin - Millis(100));
  CHECK_FALSE(region.Confirmed(3));
  CHECK(CountServing(region, 2) == 8);
}

TEST_CASE("a node cut off only from the table serves on and learns changes")
{
  FakeRegion region = MakeRegion(9);
  region.m_nodes[3].m_isCutFromTable = true;
  size_t lost = 0;
  region.m_onTick = [&] { lost += region.Confirmed(3) ? 0 : 1; };
  region.Run(Millis(30'000));
  region.Apply(0, 1);
  region.Run(Millis(1'000));
  CHECK(lost == 0);
  CHECK(CountServing(region, 2) == 9);
}

TEST_CASE(
  "one partner that is confirmed is enough for a node cut off otherwise")
{
  FakeRegion region = MakeRegion(9);
  region.Isolate(3);
  region.m_cuts.erase({ 3, 4 });
  size_t lost = 0;
  region.m_onTick = [&] { lost += region.Confirmed(3) ? 0 : 1; };
  region.Run(Millis(30'000));
  CHECK(lost == 0);
}

TEST_CASE("the table is down for an hour: all nodes serve without a gap")
{
  FakeRegion region = MakeRegion(9);
  size_t gaps = 0;
  region.m_onTick = [&] { gaps += region.CountConfirmed() == 9 ? 0 : 1; };
  region.m_table.m_isDown = true;
  region.Run(Millis(3'600'000));
  CHECK(gaps == 0);
}

TEST_CASE("an outage with slow answers instead of refusals is no gap either")
{
  FakeRegion region = MakeRegion(9);
  size_t gaps = 0;
  region.m_onTick = [&] { gaps += region.CountConfirmed() == 9 ? 0 : 1; };
  region.m_tableDelay = Millis(1'900);
  region.Run(Millis(60'000));
  CHECK(gaps == 0);
}

TEST_CASE("in an outage the larger part serves on and the smaller refuses")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(5'000));
  for (size_t left : { 0U, 1U }) {
    for (size_t right : { 2U, 3U, 4U }) {
      region.Cut(left, right);
    }
  }
  region.Run(Millis(10'000));
  CHECK(region.CountConfirmed() == 3);
  CHECK_FALSE(region.Confirmed(0));
  CHECK_FALSE(region.Confirmed(1));
  region.m_cuts.clear();
  region.Run(Millis(8'000));
  CHECK(region.CountConfirmed() == 5);
}

TEST_CASE("a node that restarts in an outage serves again by the others")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(2'000));
  region.Start(4);
  region.Run(Millis(3'000));
  CHECK(CountServing(region, 1) == 5);
  // It has forgotten: it counts in no majority.
  CHECK_FALSE(region.m_nodes[4].m_state.m_hasReadTable);
}

TEST_CASE("the majority restarts in an outage: the price is refusal")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(2'000));
  for (size_t i : { 0U, 1U, 2U }) {
    region.Start(i);
  }
  region.Run(Millis(20'000));
  CHECK(region.CountConfirmed() == 0);
  region.m_table.m_isDown = false;
  region.Run(Millis(3'000));
  CHECK(CountServing(region, 1) == 5);
}

TEST_CASE("an acknowledgement forgotten in a restart can't bring back the past")
{
  // The change is known to nodes 0, 1 and 2; then 1 and 2 restart.
  FakeRegion region = MakeRegion(5);
  for (size_t left : { 0U, 1U, 2U }) {
    for (size_t right : { 3U, 4U }) {
      region.Cut(left, right);
    }
  }
  region.m_nodes[3].m_isCutFromTable = true;
  region.m_nodes[4].m_isCutFromTable = true;
  const CommandId command = region.Apply(0, 1);
  region.Run(Millis(100));
  REQUIRE(region.CodeOf(command) == ResultCode::Ok);
  region.m_table.m_isDown = true;
  region.Run(kInForceWithin);
  region.m_cuts.clear();
  region.m_nodes[0].m_isUp = false;
  region.Start(1);
  region.Start(2);
  region.Run(Millis(20'000));
  CHECK(CountServing(region, 1) == 0);
}

TEST_CASE("a restarted node doesn't confirm its own lack of memory")
{
  // The change is known to nodes 0 and 2; then 2 restarts and 0 is lost.
  FakeRegion region = MakeRegion(3);
  region.Cut(0, 1);
  region.Cut(2, 1);
  region.m_nodes[1].m_isCutFromTable = true;
  const CommandId command = region.Apply(0, 1);
  region.Run(Millis(100));
  REQUIRE(region.CodeOf(command) == ResultCode::Ok);
  region.m_table.m_isDown = true;
  region.Run(kInForceWithin);
  region.m_cuts.clear();
  region.m_nodes[0].m_isUp = false;
  region.Start(2);
  region.Run(Millis(20'000));
  CHECK(region.m_nodes[2].m_adoptedVersion == 1);
  CHECK(CountServing(region, 1) == 0);
}

TEST_CASE("a restarted node without seeds learns from whoever asks it")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(2'000));
  region.Start(4);
  region.m_nodes[4].m_state.m_settings.m_seeds.clear();
  region.Run(Millis(5'000));
  CHECK(CountServing(region, 1) == 5);
}

TEST_CASE("of two racing operators one is told of the other")
{
  FakeRegion region = MakeRegion(5);
  const CommandId first = region.Apply(0, 1, "ann");
  const CommandId second = region.Apply(1, 1, "bea");
  region.Run(Millis(500));
  CHECK(region.CodeOf(first) == ResultCode::Ok);
  const CommandAnswer& raced = AnswerTo(region, second);
  CHECK(raced.m_code == ResultCode::ChangeRaced);
  CHECK(raced.m_detail == "raced by version 2 (configuration) by ann: board");
  const CommandId late = region.Apply(2, 1);
  CHECK(AnswerTo(region, late).m_code == ResultCode::ChangeRaced);
  CHECK(CountServing(region, 2) == 5);
}

TEST_CASE("racing operators and a lost answer: each gets its own outcome")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_loseWriteAnswers = 1;
  const CommandId first = region.Apply(0, 1, "ann");
  const CommandId second = region.Apply(1, 1, "bea");
  region.Run(Millis(500));
  CHECK(region.CodeOf(first) == ResultCode::Ok);
  CHECK(region.CodeOf(second) == ResultCode::ChangeRaced);
}

TEST_CASE("an older version from the table confirms nothing and alarms")
{
  FakeRegion region = MakeRegion(5);
  const FakeTable former = region.m_table;
  region.Apply(0, 1);
  region.Run(Millis(2'000));
  region.m_table = former;
  size_t reverted = 0;
  region.m_onTick = [&] { reverted += CountServing(region, 2) == 5 ? 0 : 1; };
  region.Run(Millis(20'000));
  CHECK(reverted == 0);
  for (const FakeNode& node : region.m_nodes) {
    CHECK(HasLogged(node, "table-shows-older-version"));
    CHECK(node.m_state.m_isTableSuspect);
  }
  // The operators' next change mends the table.
  region.m_onTick = [] {};
  const CommandId command = region.Apply(0, 2);
  region.Run(Millis(7'000));
  CHECK(region.CodeOf(command) == ResultCode::Ok);
  CHECK(CountServing(region, 3) == 5);
  CHECK_FALSE(region.m_nodes[4].m_state.m_isTableSuspect);
}

TEST_CASE("an older version from the table and a node cut off from its peers")
{
  FakeRegion region = MakeRegion(5);
  const FakeTable former = region.m_table;
  region.Apply(0, 1);
  region.Run(Millis(2'000));
  region.m_table = former;
  region.Isolate(4);
  region.m_nodes[4].m_isCutFromTable = false;
  region.Run(kInForceWithin + Millis(1'100));
  CHECK_FALSE(region.Confirmed(4));
  CHECK(region.m_nodes[4].m_adoptedVersion == 2);
}

TEST_CASE("a zone goes out in a table outage and is recorded afterwards")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(3'000));
  const CommandId out = region.Zone(0, kPerth, ZoneState::Out);
  region.Run(Millis(500));
  CHECK(AnswerTo(region, out).m_code == ResultCode::ChangeRecorded);
  CHECK(AnswerTo(region, out).m_missing.empty());
  for (size_t i = 0; i < 5; ++i) {
    CHECK(region.IsOut(i, kPerth));
  }
  const CommandId in = region.Zone(3, kPerth, ZoneState::In);
  CHECK(AnswerTo(region, in).m_code == ResultCode::ChangeRefused);
  region.m_table.m_isDown = false;
  region.Run(Millis(10'000));
  const FactName name{ FactKind::Zone, ZoneId(kPerth) };
  CHECK(region.m_nodes[4].m_state.m_holds.empty());
  CHECK(IsAccepted(region.m_nodes[4].m_state, name, 1));
  const CommandId again = region.Zone(3, kPerth, ZoneState::In);
  region.Run(Millis(200));
  CHECK(region.CodeOf(again) == ResultCode::Ok);
  CHECK_FALSE(region.IsOut(4, kPerth));
}

TEST_CASE("a held zone names the nodes that weren't reached, and outlives its "
          "commander")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(3'000));
  for (size_t i = 0; i < 4; ++i) {
    region.Cut(i, 4);
  }
  const CommandId out = region.Zone(0, kPerth, ZoneState::Out);
  region.Run(kCommandTimeout + Millis(100));
  const CommandAnswer& answer = AnswerTo(region, out);
  CHECK(answer.m_code == ResultCode::ChangeRecorded);
  CHECK(answer.m_missing == std::vector<NodeId>{ FakeRegion::Id(4) });
  CHECK_FALSE(region.Confirmed(4));
  region.m_nodes[0].m_isUp = false;
  region.m_table.m_isDown = false;
  region.Run(Millis(15'000));
  for (size_t i = 1; i < 5; ++i) {
    CHECK(region.IsOut(i, kPerth));
    CHECK(region.m_nodes[i].m_state.m_holds.empty());
  }
}

TEST_CASE("a change without a majority is recorded and names who is missing")
{
  FakeRegion region = MakeRegion(5);
  for (size_t left : { 0U, 1U }) {
    for (size_t right : { 2U, 3U, 4U }) {
      region.Cut(left, right);
    }
  }
  for (size_t i : { 2U, 3U, 4U }) {
    region.m_nodes[i].m_isCutFromTable = true;
  }
  const CommandId command = region.Apply(0, 1);
  region.Run(kCommandTimeout + Millis(100));
  const CommandAnswer& answer = AnswerTo(region, command);
  CHECK(answer.m_code == ResultCode::ChangeRecorded);
  CHECK(answer.m_missing.size() == 3);
}

TEST_CASE("commands that can't be carried out write nothing")
{
  FakeRegion region = MakeRegion(3);
  const CommandId zone = region.Zone(0, "nowhere", ZoneState::Out);
  CHECK(region.CodeOf(zone) == ResultCode::ChangeRefused);
  ApplyCommand bad;
  bad.m_command = CommandId("bad");
  region.Post(0, bad);
  CHECK(region.CodeOf(CommandId("bad")) == ResultCode::MalformedRequest);
  region.m_table.m_isDown = true;
  const CommandId apply = region.Apply(0, 1);
  region.Run(Millis(100));
  CHECK(region.CodeOf(apply) == ResultCode::ChangeRefused);
  region.m_table.m_isDown = false;
  region.Run(Millis(3'000));
  CHECK(CountServing(region, 1) == 3);
}

TEST_CASE("a slow read confirms as of its asking")
{
  FakeRegion region = MakeRegion(3);
  region.Cut(2, 0);
  region.Cut(2, 1);
  region.m_tableDelay = Millis(900);
  const MembershipState& state = region.m_nodes[2].m_state;
  do {
    region.Run(Millis(1));
  } while (!state.m_tableRead.has_value() ||
           state.m_tableRead->m_askedAt != region.Now());
  region.m_nodes[2].m_isCutFromTable = true;
  region.Run(kConfirmationLife);
  CHECK(region.Confirmed(2));
  region.Run(Millis(1));
  CHECK_FALSE(region.Confirmed(2));
}

// Runs until a node waits for a partner's answer, and returns an answer that
// confirms as strongly as one can.
PeerMessageReceived AwaitAsk(FakeRegion& aRegion, size_t aNode)
{
  while (true) {
    for (const Member& member : aRegion.m_nodes[aNode].m_state.m_members) {
      if (member.m_askSequence != 0) {
        FactsAnswer answer;
        answer.m_sequence = member.m_askSequence;
        answer.m_version = aRegion.m_nodes[aNode].m_state.m_held;
        answer.m_vouches = true;
        answer.m_vouchAges.assign(aRegion.m_nodes.size(), 0);
        answer.m_confirmedAge = Millis();
        return PeerMessageReceived{ member.m_node.m_id, 0, answer };
      }
    }
    aRegion.Run(Millis(1));
  }
}

TEST_CASE("a paused node doesn't take old answers for fresh ones")
{
  FakeRegion region = MakeRegion(5);
  region.m_table.m_isDown = true;
  region.Run(Millis(3'000));
  const PeerMessageReceived answer = AwaitAsk(region, 2);
  region.m_nodes[2].m_isPaused = true;
  region.Run(Millis(5'000));
  region.m_nodes[2].m_isPaused = false;
  region.Post(2, answer);
  CHECK_FALSE(region.Confirmed(2));
}

TEST_CASE("a confirmation of facts that this node lacks doesn't confirm it")
{
  FakeRegion region = MakeRegion(5);
  region.Isolate(2);
  region.Run(Millis(2'500));
  REQUIRE(region.Confirmed(2));
  PeerMessageReceived answer = AwaitAsk(region, 2);
  ++std::get<FactsAnswer>(answer.m_message).m_version.m_config;
  region.Post(2, answer);
  region.Run(Millis(1'000));
  CHECK_FALSE(region.Confirmed(2));
}

TEST_CASE("a node leaves gracefully, and a gone host is removed")
{
  FakeRegion region = MakeRegion(5);
  region.Post(4, ShutdownRequested{});
  region.Run(Millis(2'000));
  REQUIRE(region.m_nodes[4].m_shutdown.has_value());
  CHECK(region.m_nodes[4].m_shutdown->m_hasLeft);
  CHECK(region.m_nodes[0].m_state.m_members.size() == 4);

  region.m_nodes[3].m_isUp = false;
  region.Run(Millis(60'000));
  // Silence alone removes nobody.
  CHECK(region.m_nodes[0].m_state.m_members.size() == 4);
  EntryHostsRead list;
  list.m_shown = { FakeRegion::Id(0), FakeRegion::Id(1), FakeRegion::Id(2) };
  for (int seconds = 0; seconds < 45; ++seconds) {
    for (size_t i = 0; i < 3; ++i) {
      region.Post(i, list);
    }
    region.Run(Millis(1'000));
  }
  for (size_t i = 0; i < 3; ++i) {
    CHECK(region.m_nodes[i].m_state.m_members.size() == 3);
    CHECK(region.Confirmed(i));
  }
}

TEST_CASE("a host list that shows no nodes at all removes none")
{
  FakeRegion region = MakeRegion(3);
  for (int seconds = 0; seconds < 60; ++seconds) {
    region.Post(0, EntryHostsRead{});
    region.Run(Millis(1'000));
  }
  // Three joins and nothing since: a node removed would have joined again.
  CHECK(region.m_nodes[0].m_state.m_held.m_roster == 3);
}

TEST_CASE("a node that joins takes work only once its joining is accepted")
{
  FakeRegion region = MakeRegion(3);
  region.m_nodes.emplace_back();
  region.Start(3);
  while (region.m_nodes[3].m_state.m_members.size() < 4) {
    region.Run(Millis(1));
  }
  for (size_t i = 0; i < 3; ++i) {
    region.Cut(i, 3);
  }
  region.Run(Millis(5'000));
  // The table confirms its facts, yet no one may know of it.
  CHECK_FALSE(region.Confirmed(3));
  region.m_cuts.clear();
  region.Run(Millis(8'000));
  CHECK(region.Confirmed(3));
}

TEST_CASE("the roster changes only once majorities hold the step before")
{
  FakeRegion region = MakeRegion(3);
  region.Cut(0, 1);
  region.Cut(0, 2);
  region.m_nodes[1].m_isCutFromTable = true;
  region.m_nodes[2].m_isCutFromTable = true;
  region.Post(0, ShutdownRequested{});
  region.Run(Millis(500));
  CHECK_FALSE(region.m_nodes[0].m_shutdown.has_value());
  region.Run(kLeaveTimeout);
  CHECK(region.m_nodes[0].m_shutdown.has_value());
  // The first step was settled before; the next one waits for it.
  region.m_nodes.emplace_back();
  region.Cut(3, 1);
  region.Cut(3, 2);
  region.Start(3);
  region.Run(Millis(5'000));
  CHECK(region.m_nodes[3].m_state.m_held.m_roster == 4);
  CHECK_FALSE(region.Confirmed(3));
  region.m_cuts.clear();
  region.m_nodes[1].m_isCutFromTable = false;
  region.m_nodes[2].m_isCutFromTable = false;
  region.Run(Millis(5'000));
  CHECK(region.Confirmed(3));
}

} // namespace
} // namespace briarglade
