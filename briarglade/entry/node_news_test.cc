// Tests of the encoding of peer updates.

#include "briarglade/entry/node_news.h"

#include <doctest/doctest.h>

#include "briarglade/entry/packed_value.h"

namespace briarglade {
namespace {

const RequestTrait kRequest{ TraitKind::Request, UINT64_MAX };
const RequestTrait kPart{ TraitKind::PromptPart, 99 };

Bulletin MakeBulletin()
{
  Bulletin bulletin;
  bulletin.m_origin = NodeId("n7");
  bulletin.m_incarnation = 78;
  bulletin.m_number = 5;
  bulletin.m_age = ToldAge(Millis(70'001));
  bulletin.m_harm.m_evidence = { CrashEvidence{
    ServerRun{ HostId("i-1"), BootId("16") },
    DomainId("d1"),
    Millis(20),
    { kRequest, kPart } } };
  // Longer than a minute.
  bulletin.m_harm.m_clearances = { TraitClearance{ kPart, Millis(70'000) } };
  bulletin.m_leavingServers = { { HostId("i-3"), BootId("17") } };
  bulletin.m_endedGroups = { GroupId("m.2") };
  bulletin.m_openedGroups = { { GroupId("m.3"),
                                Generation(3),
                                { HostId("i-1"), HostId("i-2") },
                                { 1'700'000'000'000, 1'700'000'000'001 } } };
  bulletin.m_serversComplete = RowVersion(9);
  bulletin.m_entryDoubt = Millis(1'200);
  bulletin.m_storeCheck = StoreCheckNotice::Served;
  bulletin.m_rateLimits = {
    RateLimitNotice{
      ServerRun{ HostId("i-1"), BootId("16") }, 4.5, Millis(30) },
    RateLimitNotice{
      ServerRun{ HostId("i-2"), BootId("17") }, std::nullopt, Millis() }
  };
  bulletin.m_rowChanges = {
    { Feed::Servers,
      RowVersion(7),
      RowVersion(9),
      { { Feed::Servers, "i-1", RowVersion(9), std::string("a\0b", 3) },
        { Feed::Servers, "i-2", RowVersion(8), std::nullopt } } }
  };
  bulletin.m_rowChanges[0].m_isLast = true;
  bulletin.m_rowChanges[0].m_namesRemovals = true;
  bulletin.m_rowChanges[0].m_checksum = RowsChecksum(4'711);
  return bulletin;
}

NodeNews MakeNews()
{
  NodeNews news;
  news.m_node = NodeId("n1");
  news.m_incarnation = 77;
  news.m_sentAt = Millis(5'000'000'000);
  news.m_requestsEcho = true;
  news.m_condition.m_isReady = true;
  news.m_condition.m_hasTraffic = true;
  news.m_condition.m_isStoreLost = true;
  news.m_rateLimits = { RateLimitNotice{
    ServerRun{ HostId("i-3"), BootId("18") }, 0.25, Millis(5) } };
  news.m_completeUpTo = { RowVersion(1), RowVersion(2), RowVersion(3) };
  news.m_resumesAfter = { RowVersion(1), RowVersion(5), RowVersion(3) };
  news.m_checksums = { RowsChecksum(9), RowsChecksum(), RowsChecksum(~0ULL) };
  news.m_rosterKnownUpTo = Millis(4'711);
  news.m_storePeriod = StorePeriod{ Millis(1'700), Millis(4'800) };
  news.m_subscription = Subscription::All;
  news.m_reportNumber = 12;
  news.m_loads = { { HostId("i-1"), 3, 4'000 }, { HostId("i-2"), 70'000, 0 } };
  news.m_suspects = { GroupId("m.1") };
  NodeStatus status;
  status.m_key = MakeNodeRunKey(NodeId("n2"), 5);
  status.m_age = ToldAge(Millis(70'000));
  status.m_reportNumber = 3;
  status.m_condition.m_isLeaving = true;
  news.m_fleet = StatusDigest{ { status }, news.m_loads, { GroupId("m.4") } };
  news.m_zones = { { ZoneId("a"), ToldAge(Millis(20)), *news.m_fleet } };
  news.m_zoneAges = { { ZoneId("b"), ToldAge(Millis(900)) } };
  news.m_refusals = { TraitRefusal{
    kPart, { kRequest }, Millis(1), Millis(21'600'000) } };
  news.m_bulletins = { MakeBulletin() };
  news.m_requestsRows = true;
  news.m_rowChanges = news.m_bulletins[0].m_rowChanges;
  return news;
}

void CheckRows(const std::vector<RowChanges>& aRead,
               const std::vector<RowChanges>& aSent)
{
  REQUIRE(aRead.size() == 1);
  const RowChanges& handed = aRead[0];
  CHECK(handed.m_feed == Feed::Servers);
  CHECK(handed.m_after == RowVersion(7));
  CHECK(handed.m_upTo == RowVersion(9));
  CHECK(handed.m_isLast == aSent[0].m_isLast);
  CHECK(handed.m_namesRemovals == aSent[0].m_namesRemovals);
  CHECK(handed.m_checksum == aSent[0].m_checksum);
  REQUIRE(handed.m_rows.size() == 2);
  CHECK(handed.m_rows[0].m_value == aSent[0].m_rows[0].m_value);
  CHECK_FALSE(handed.m_rows[1].m_value);
}

TEST_CASE("an encoded report is decoded unchanged")
{
  const NodeNews sent = MakeNews();
  const std::optional<NodeNews> read = DecodeNodeNews(EncodeNodeNews(sent));
  REQUIRE(read);
  CHECK(read->m_node == sent.m_node);
  CHECK(read->m_incarnation == 77);
  CHECK(read->m_sentAt == Millis(5'000'000'000));
  CHECK(read->m_requestsEcho);
  CHECK(read->m_condition.m_isReady);
  CHECK(read->m_condition.m_isStoreLost);
  CHECK_FALSE(read->m_condition.m_isLeaving);
  CHECK(read->m_condition.m_entryDoubt == Millis());
  CHECK(read->m_completeUpTo == sent.m_completeUpTo);
  CHECK(read->m_resumesAfter == sent.m_resumesAfter);
  CHECK(read->m_checksums == sent.m_checksums);
  CHECK(read->m_rosterKnownUpTo == Millis(4'711));
  REQUIRE(read->m_storePeriod);
  CHECK(read->m_storePeriod->m_since == Millis(1'700));
  CHECK(read->m_storePeriod->m_until == Millis(4'800));
  CHECK(read->m_subscription == Subscription::All);
  CHECK(read->m_reportNumber == 12);
  CHECK(read->m_loads[0].m_inFlight == 3);
  CHECK(read->m_loads[0].m_pendingPromptTokens == 4'000);
  CHECK(read->m_loads[1].m_inFlight == 0xffff);
  CHECK(read->m_suspects == sent.m_suspects);
  CHECK(read->m_requestsRows);
  CheckRows(read->m_rowChanges, sent.m_rowChanges);
}

TEST_CASE(
  "a report of an earlier version, without a time in which the store was "
  "available and without its own, is decoded as one that knows none")
{
  NodeNews sent = MakeNews();
  sent.m_storePeriod.reset();
  sent.m_sentAt.reset();
  const std::optional<NodeNews> read = DecodeNodeNews(EncodeNodeNews(sent));
  REQUIRE(read);
  CHECK_FALSE(read->m_storePeriod);
  CHECK_FALSE(read->m_sentAt);
}

TEST_CASE("encoded digests and bulletins are decoded unchanged")
{
  const NodeNews sent = MakeNews();
  const std::optional<NodeNews> read = DecodeNodeNews(EncodeNodeNews(sent));
  REQUIRE(read);
  REQUIRE(read->m_fleet);
  REQUIRE(read->m_fleet->m_nodes.size() == 1);
  const NodeStatus& status = read->m_fleet->m_nodes[0];
  CHECK(status.m_key == MakeNodeRunKey(NodeId("n2"), 5));
  // The greatest age that can be encoded.
  CHECK(status.m_age.WhenSent() == Millis(0xffff));
  CHECK(status.m_reportNumber == 3);
  CHECK(status.m_condition.m_isLeaving);
  CHECK(read->m_fleet->m_suspects == sent.m_fleet->m_suspects);
  REQUIRE(read->m_zones.size() == 1);
  CHECK(read->m_zones[0].m_zone == ZoneId("a"));
  CHECK(read->m_zones[0].m_digest.m_loads.size() == 2);
  REQUIRE(read->m_zoneAges.size() == 1);
  CHECK(read->m_zoneAges[0].m_age.WhenSent() == Millis(900));
  REQUIRE(read->m_bulletins.size() == 1);
  const Bulletin& bulletin = read->m_bulletins[0];
  CHECK(bulletin.m_origin == NodeId("n7"));
  CHECK(bulletin.m_incarnation == 78);
  CHECK(bulletin.m_number == 5);
  CHECK(bulletin.m_storeCheck == StoreCheckNotice::Served);
  REQUIRE(bulletin.m_harm.m_evidence.size() == 1);
  const CrashEvidence& evidence = bulletin.m_harm.m_evidence[0];
  CHECK(evidence.m_server == ServerRun{ HostId("i-1"), BootId("16") });
  CHECK(evidence.m_domain == DomainId("d1"));
  CHECK(evidence.m_age == Millis(20));
  CHECK(evidence.m_traits == std::vector<RequestTrait>{ kRequest, kPart });
  REQUIRE(bulletin.m_harm.m_clearances.size() == 1);
  REQUIRE(read->m_refusals.size() == 1);
  CHECK(read->m_refusals[0].m_trait == kPart);
  CHECK(read->m_refusals[0].m_companions ==
        std::vector<RequestTrait>{ kRequest });
  CHECK(read->m_refusals[0].m_remaining == Millis(21'600'000));
  CHECK(bulletin.m_harm.m_clearances[0].m_trait == kPart);
  CHECK(bulletin.m_age.WhenSent() == Millis(70'001));
  CHECK(bulletin.m_harm.m_clearances[0].m_age == Millis(70'000));
  REQUIRE(bulletin.m_leavingServers.size() == 1);
  CHECK(bulletin.m_leavingServers[0].m_run == BootId("17"));
  CHECK(bulletin.m_endedGroups == sent.m_bulletins[0].m_endedGroups);
  REQUIRE(bulletin.m_openedGroups.size() == 1);
  CHECK(bulletin.m_openedGroups[0].m_members ==
        sent.m_bulletins[0].m_openedGroups[0].m_members);
  CHECK(bulletin.m_openedGroups[0].m_starts ==
        sent.m_bulletins[0].m_openedGroups[0].m_starts);
  CHECK(bulletin.m_serversComplete == RowVersion(9));
  CHECK(bulletin.m_entryDoubt == Millis(1'200));
  REQUIRE(bulletin.m_rateLimits.size() == 2);
  CHECK(bulletin.m_rateLimits[0].m_server ==
        ServerRun{ HostId("i-1"), BootId("16") });
  CHECK(bulletin.m_rateLimits[0].m_rate == 4.5);
  CHECK(bulletin.m_rateLimits[0].m_age == Millis(30));
  CHECK_FALSE(bulletin.m_rateLimits[1].m_rate);
  REQUIRE(read->m_rateLimits.size() == 1);
  CHECK(read->m_rateLimits[0].m_rate == 0.25);
  CheckRows(bulletin.m_rowChanges, sent.m_rowChanges);
}

TEST_CASE("a compressed value of a row is decoded to the original, and stays "
          "compressed for forwarding")
{
  NodeNews sent = MakeNews();
  StoredRow& row = sent.m_rowChanges[0].m_rows[0];
  row.m_value = std::string(100'000, 'r');
  row.m_packed = PackValue(*row.m_value);
  const std::string bytes = EncodeNodeNews(sent);
  CHECK(bytes.size() < 10'000);
  const std::optional<NodeNews> read = DecodeNodeNews(bytes);
  REQUIRE(read);
  CHECK(read->m_readsPacked);
  const StoredRow& readRow = read->m_rowChanges.at(0).m_rows.at(0);
  CHECK(readRow.m_value == row.m_value);
  REQUIRE(readRow.m_packed);
  CHECK(*readRow.m_packed == *row.m_packed);
}

TEST_CASE("an update with a compressed value that cannot be read is rejected")
{
  NodeNews sent = MakeNews();
  StoredRow& row = sent.m_rowChanges[0].m_rows[0];
  row.m_value = std::string(100'000, 'r');
  row.m_packed = std::make_shared<const std::string>("no such thing");
  CHECK_FALSE(DecodeNodeNews(EncodeNodeNews(sent)));
}

TEST_CASE("an update whose compressed values are too large together is "
          "rejected, so that a small message cannot fill the memory")
{
  NodeNews sent = MakeNews();
  StoredRow row = sent.m_rowChanges[0].m_rows[0];
  row.m_value = std::string(9 * 1024 * 1024, 'r');
  row.m_packed = PackValue(*row.m_value);
  sent.m_rowChanges[0].m_rows = { row };
  CHECK(DecodeNodeNews(EncodeNodeNews(sent)));
  sent.m_rowChanges[0].m_rows = { row, row };
  CHECK_FALSE(DecodeNodeNews(EncodeNodeNews(sent)));
}

TEST_CASE("truncated or malformed bytes are rejected safely")
{
  const std::string whole = EncodeNodeNews(MakeNews());
  for (size_t length = 0; length < whole.size(); length += 3) {
    DecodeNodeNews(whole.substr(0, length));
  }
  CHECK_FALSE(DecodeNodeNews(std::string(64, '\xff')));
}

TEST_CASE("the work by model arrives, and values that are not rates count as "
          "none")
{
  NodeNews news = MakeNews();
  news.m_work = { { ModelId("a"), ModelWork{ 12.5, 4'000, 800 } },
                  { ModelId("b"), ModelWork{ -1, 1e300, 3 } } };
  news.m_fleet = StatusDigest();
  news.m_fleet->m_work = news.m_work;
  const std::optional<NodeNews> read = DecodeNodeNews(EncodeNodeNews(news));
  REQUIRE(read);
  REQUIRE(read->m_fleet);
  for (const WorkByModel& work : { read->m_work, read->m_fleet->m_work }) {
    REQUIRE(work.size() == 2);
    CHECK(work.at(ModelId("a")).m_requests == 12.5);
    CHECK(work.at(ModelId("a")).m_promptTokens == 4'000);
    CHECK(work.at(ModelId("a")).m_answerTokens == 800);
    CHECK(work.at(ModelId("b")).m_requests == 0);
    CHECK(work.at(ModelId("b")).m_promptTokens == 0);
    CHECK(work.at(ModelId("b")).m_answerTokens == 3);
  }
}

// Guards against small messages for which memory was taken as for large ones.
TEST_CASE("an update that is small when packed and large when unpacked is not "
          "read")
{
  // Packed, 256 words of zeros take two bytes.
  constexpr uint32_t kWords = 0x780000;
  constexpr uint32_t kWordsPerRun = 256;
  // A head of one segment, of which only the third byte of the size is not
  // zero.
  std::string bytes = "\x40\x78";
  for (uint32_t words = 0; words < kWords; words += kWordsPerRun) {
    bytes.append("\x00\xff", 2);
  }
  CHECK(bytes.size() < 64 * 1024);
  CHECK_FALSE(DecodeNodeNews(bytes).has_value());
}

} // namespace
} // namespace briarglade
