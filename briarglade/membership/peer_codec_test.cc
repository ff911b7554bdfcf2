// Tests of the peer codec on every kind of message and on damaged bytes.

#include "briarglade/membership/peer_codec.h"

#include <doctest/doctest.h>
#include <random>

namespace briarglade {
namespace {

FactsVersion MakeVersion()
{
  return FactsVersion{ 7,
                       9,
                       { { ZoneId("albany-c"), 2 }, { ZoneId("b"), 3 } } };
}

// One message of each kind, every field set to something of its own.
std::vector<PeerMessage> MakeMessages()
{
  const Endpoint endpoint{ "10.0.0.7", 4040 };
  const std::vector<ZoneHold> holds = {
    { ZoneId("b"), 4, OperationId("op-1"), "ann", "flood", 1234567 }
  };
  const std::vector<FactRow> rows = { { { FactKind::Zone, ZoneId("b") },
                                        5,
                                        RowVersion(6),
                                        OperationId("o"),
                                        "{}" } };
  ServerReport report;
  report.m_host = HostId("h");
  report.m_boot = BootId("boot");
  report.m_group = GroupId("g");
  report.m_generation = Generation(3);
  report.m_model = ModelId("m");
  report.m_phase = MemberPhase::Draining;
  report.m_fencing = FencingToken(8);
  report.m_load = 11;
  report.m_loadAge = Millis(12);
  report.m_uptime = Millis(13);
  report.m_stepTime = Millis(14);
  report.m_receivedAt = Millis(15);
  return {
    FactsAsk{ 1, MakeVersion(), endpoint, true, holds },
    FactsAnswer{
      2, MakeVersion(), true, { 0, 255 }, { 1 }, Millis(30), rows, holds },
    FactsPush{ 3, MakeVersion(), endpoint, true, rows, holds },
    FactsAck{ 4, MakeVersion(), true, { OperationId("op-1") } },
    PresenceNews{ NodeId("w"), 5, { report }, { HostId("gone") } },
    InFlightNews{ NodeId("n"), GroupId("g"), Generation(6), 7 },
    CrashNotice{
      NodeId("n"), Fingerprint(8), GroupId("g"), BootId("b"), Millis(-9) },
    NodeNews{ NodeId("n"), true },
  };
}

TEST_CASE("a message read back encodes to the same bytes")
{
  for (const PeerMessage& message : MakeMessages()) {
    const std::string bytes = EncodePeerMessage(message);
    const Result<PeerMessage> again = DecodePeerMessage(bytes);
    REQUIRE(GetError(again) == nullptr);
    CHECK(std::get<PeerMessage>(again).index() == message.index());
    CHECK(EncodePeerMessage(std::get<PeerMessage>(again)) == bytes);
  }
}

TEST_CASE("fields survive the way there")
{
  const std::vector<PeerMessage> messages = MakeMessages();
  const auto read = [&](size_t aIndex) {
    return std::get<PeerMessage>(
      DecodePeerMessage(EncodePeerMessage(messages[aIndex])));
  };
  const auto answer = std::get<FactsAnswer>(read(1));
  CHECK(answer.m_version.Of({ FactKind::Zone, ZoneId("b") }) == 3);
  CHECK(answer.m_vouchAges == std::vector<uint8_t>{ 0, 255 });
  CHECK(answer.m_confirmedAge == Millis(30));
  CHECK(answer.m_rows[0].m_rowVersion == RowVersion(6));
  CHECK(answer.m_holds[0].m_why == "flood");
  const auto news = std::get<PresenceNews>(read(4));
  CHECK(news.m_reports[0].m_phase == MemberPhase::Draining);
  CHECK(news.m_reports[0].m_receivedAt == Millis(15));
  CHECK(std::get<CrashNotice>(read(6)).m_refuseFor == Millis(-9));
  CHECK(std::get<NodeNews>(read(7)).m_leaving);
}

TEST_CASE("cut and extended messages are refused")
{
  for (const PeerMessage& message : MakeMessages()) {
    const std::string bytes = EncodePeerMessage(message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK(GetError(DecodePeerMessage(bytes.substr(0, size))) != nullptr);
    }
    CHECK(GetError(DecodePeerMessage(bytes + "x")) != nullptr);
  }
}

TEST_CASE("damaged bytes give a message or an error, never a crash")
{
  std::mt19937 random(20261204);
  size_t refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    for (const PeerMessage& message : MakeMessages()) {
      std::string bytes = EncodePeerMessage(message);
      bytes[random() % bytes.size()] = static_cast<char>(random());
      refused += GetError(DecodePeerMessage(bytes)) != nullptr ? 1 : 0;
    }
  }
  CHECK(refused > 0);
}

} // namespace
} // namespace briarglade
