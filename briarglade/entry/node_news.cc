// Encoding of peer updates in Cap'n Proto's packed format.

#include "briarglade/entry/node_news.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cmath>
#include <kj/debug.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <xxhash.h>

#include "briarglade/entry/node_news.capnp.h"
#include "briarglade/entry/packed_value.h"
#include "briarglade/entry/row_cache.h"

namespace briarglade {

namespace {

// The largest values that fit the 16-bit fields; larger ones are clamped. Ages
// are in milliseconds.
constexpr uint32_t kMaxInFlight = 0xffff;
constexpr int64_t kMaxAge = 0xffff;

// The most bytes of an update when it is unpacked, without the compressed
// values in it. Zeros are packed at 1,024 to 1, so that a message of 64 KB,
// which anybody who reaches the port can send, could take 64 MB. An update that
// is sent has at most 4 MiB packed.
constexpr uint64_t kMaxUnpackedBytes = 16 * 1024 * 1024;

// The doubt of nodes that tell of it, but not how long it lasts.
constexpr Millis kUnstatedEntryDoubt = Millis(1'500);

kj::ArrayPtr<const kj::byte> BytesOf(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

std::string ToText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

std::string ToText(capnp::Data::Reader aData)
{
  return { aData.asChars().begin(), aData.size() };
}

uint16_t ToAge(Millis aAge)
{
  return static_cast<uint16_t>(std::clamp(aAge.Count(), int64_t{ 0 }, kMaxAge));
}

// Encodes a time in milliseconds that may be hours.
uint32_t ToDuration(Millis aTime)
{
  constexpr int64_t kMax = UINT32_MAX;
  return static_cast<uint32_t>(std::clamp(aTime.Count(), int64_t{ 0 }, kMax));
}

// Writes the entries of a list one by one.
template<typename Builder, typename Entries, typename Writer>
void WriteList(Builder aList, const Entries& aEntries, const Writer& aWrite)
{
  unsigned index = 0;
  for (const auto& entry : aEntries) {
    aWrite(aList[index++], entry);
  }
}

template<typename Entries>
unsigned SizeOf(const Entries& aEntries)
{
  return static_cast<unsigned>(aEntries.size());
}

template<typename Builder, typename Ids>
void WriteIds(Builder aList, const Ids& aIds)
{
  unsigned index = 0;
  for (const auto& id : aIds) {
    aList.set(index++, id.Value());
  }
}

template<typename Id>
std::vector<Id> ReadIds(capnp::List<capnp::Text>::Reader aList)
{
  std::vector<Id> ids;
  ids.reserve(aList.size());
  for (const auto id : aList) {
    ids.emplace_back(ToText(id));
  }
  return ids;
}

template<typename Builder>
void WriteEntryDoubt(Builder aMessage, Millis aDoubt)
{
  aMessage.setStoreDisturbed(aDoubt > Millis());
  aMessage.setEntryDoubtMs(ToAge(aDoubt));
}

template<typename Reader>
Millis ReadEntryDoubt(Reader aMessage)
{
  const Millis stated(aMessage.getEntryDoubtMs());
  return stated == Millis() && aMessage.getStoreDisturbed()
           ? kUnstatedEntryDoubt
           : stated;
}

// Two wire messages have the fields of a condition, hence the template.
template<typename Builder>
void WriteCondition(Builder aMessage, const NodeCondition& aCondition)
{
  aMessage.setLeaving(aCondition.m_isLeaving);
  aMessage.setReady(aCondition.m_isReady);
  aMessage.setHasTraffic(aCondition.m_hasTraffic);
  aMessage.setStoreLost(aCondition.m_isStoreLost);
  WriteEntryDoubt(aMessage, aCondition.m_entryDoubt);
}

template<typename Reader>
NodeCondition ReadCondition(Reader aMessage)
{
  NodeCondition condition;
  condition.m_isLeaving = aMessage.getLeaving();
  condition.m_isReady = aMessage.getReady();
  condition.m_hasTraffic = aMessage.getHasTraffic();
  condition.m_isStoreLost = aMessage.getStoreLost();
  condition.m_entryDoubt = ReadEntryDoubt(aMessage);
  return condition;
}

void WriteLoad(wire::ServerLoad::Builder aEntry, const ServerLoad& aLoad)
{
  aEntry.setServer(aLoad.m_server.Value());
  aEntry.setInFlight(
    static_cast<uint16_t>(std::min(aLoad.m_inFlight, kMaxInFlight)));
  aEntry.setUnreadTokens(aLoad.m_pendingPromptTokens);
}

std::vector<ServerLoad> ReadLoads(capnp::List<wire::ServerLoad>::Reader aList)
{
  std::vector<ServerLoad> loads;
  loads.reserve(aList.size());
  for (const auto load : aList) {
    loads.push_back(ServerLoad{ HostId(ToText(load.getServer())),
                                load.getInFlight(),
                                load.getUnreadTokens() });
  }
  return loads;
}

void WriteWork(capnp::List<wire::ModelWork>::Builder aList,
               const WorkByModel& aWork)
{
  unsigned index = 0;
  for (const auto& [model, work] : aWork) {
    auto entry = aList[index++];
    entry.setModel(model.Value());
    entry.setRequests(static_cast<float>(work.m_requests));
    entry.setPromptTokens(static_cast<float>(work.m_promptTokens));
    entry.setAnswerTokens(static_cast<float>(work.m_answerTokens));
  }
}

// Returns a rate as read; a negative or infinite one counts as none.
double ReadRate(float aRate)
{
  return std::isfinite(aRate) && aRate > 0 ? aRate : 0;
}

WorkByModel ReadWork(capnp::List<wire::ModelWork>::Reader aList)
{
  WorkByModel byModel;
  for (const auto entry : aList) {
    byModel[ModelId(ToText(entry.getModel()))] +=
      ModelWork{ ReadRate(entry.getRequests()),
                 ReadRate(entry.getPromptTokens()),
                 ReadRate(entry.getAnswerTokens()) };
  }
  return byModel;
}

void WriteStatus(wire::NodeStatus::Builder aEntry, const NodeStatus& aStatus)
{
  aEntry.setKey(aStatus.m_key.Value());
  aEntry.setAgeMs(ToAge(aStatus.m_age.WhenSent()));
  aEntry.setReportNumber(aStatus.m_reportNumber);
  WriteCondition(aEntry, aStatus.m_condition);
}

void WriteDigest(wire::NewsDigest::Builder aMessage,
                 const StatusDigest& aDigest)
{
  WriteList(
    aMessage.initNodes(SizeOf(aDigest.m_nodes)), aDigest.m_nodes, WriteStatus);
  WriteList(
    aMessage.initLoads(SizeOf(aDigest.m_loads)), aDigest.m_loads, WriteLoad);
  WriteIds(aMessage.initSuspects(SizeOf(aDigest.m_suspects)),
           aDigest.m_suspects);
  WriteWork(aMessage.initWork(SizeOf(aDigest.m_work)), aDigest.m_work);
}

StatusDigest ReadDigest(wire::NewsDigest::Reader aMessage)
{
  StatusDigest digest;
  digest.m_nodes.reserve(aMessage.getNodes().size());
  for (const auto node : aMessage.getNodes()) {
    digest.m_nodes.push_back(NodeStatus{ NodeRunKey(node.getKey()),
                                         ToldAge(Millis(node.getAgeMs())),
                                         node.getReportNumber(),
                                         ReadCondition(node) });
  }
  digest.m_loads = ReadLoads(aMessage.getLoads());
  digest.m_suspects = ReadIds<GroupId>(aMessage.getSuspects());
  digest.m_work = ReadWork(aMessage.getWork());
  return digest;
}

void WriteZone(wire::ZoneDigest::Builder aEntry, const ZoneDigest& aZone)
{
  aEntry.setZone(aZone.m_zone.Value());
  aEntry.setAgeMs(ToAge(aZone.m_age.WhenSent()));
  WriteDigest(aEntry.initDigest(), aZone.m_digest);
}

void WriteZoneAge(wire::ZoneAge::Builder aEntry, const ZoneAge& aZone)
{
  aEntry.setZone(aZone.m_zone.Value());
  aEntry.setAgeMs(ToAge(aZone.m_age.WhenSent()));
}

void WriteOpened(wire::OpenedGroup::Builder aEntry, const OpenedGroup& aGroup)
{
  aEntry.setGroup(aGroup.m_group.Value());
  aEntry.setGeneration(aGroup.m_generation.Value());
  WriteIds(aEntry.initMembers(SizeOf(aGroup.m_members)), aGroup.m_members);
  auto starts = aEntry.initStarts(SizeOf(aGroup.m_starts));
  for (uint32_t rank = 0; rank < starts.size(); ++rank) {
    starts.set(rank, aGroup.m_starts[rank]);
  }
}

void WriteTrait(wire::RequestTrait::Builder aEntry, const RequestTrait& aTrait)
{
  aEntry.setKind(static_cast<uint8_t>(aTrait.m_kind));
  aEntry.setValue(aTrait.m_value);
}

void WriteEvidence(wire::CrashEvidence::Builder aEntry,
                   const CrashEvidence& aEvidence)
{
  aEntry.setServer(aEvidence.m_server.m_server.Value());
  aEntry.setRun(aEvidence.m_server.m_run.Value());
  aEntry.setDomain(aEvidence.m_domain.Value());
  aEntry.setAgeMs(ToDuration(aEvidence.m_age));
  WriteList(aEntry.initTraits(SizeOf(aEvidence.m_traits)),
            aEvidence.m_traits,
            WriteTrait);
}

void WriteClearance(wire::TraitClearance::Builder aEntry,
                    const TraitClearance& aClearance)
{
  WriteTrait(aEntry.initTrait(), aClearance.m_trait);
  aEntry.setAgeMs(ToDuration(aClearance.m_age));
}

void WriteRateLimit(wire::RateLimitNotice::Builder aEntry,
                    const RateLimitNotice& aNotice)
{
  aEntry.setServer(aNotice.m_server.m_server.Value());
  aEntry.setRun(aNotice.m_server.m_run.Value());
  aEntry.setLimited(aNotice.m_rate.has_value());
  aEntry.setRate(aNotice.m_rate.value_or(0));
  aEntry.setAgeMs(ToDuration(aNotice.m_age));
}

void WriteRefusal(wire::TraitRefusal::Builder aEntry,
                  const TraitRefusal& aRefusal)
{
  WriteTrait(aEntry.initTrait(), aRefusal.m_trait);
  WriteList(aEntry.initCompanions(SizeOf(aRefusal.m_companions)),
            aRefusal.m_companions,
            WriteTrait);
  aEntry.setCrashAgeMs(ToDuration(aRefusal.m_crashAge));
  aEntry.setRemainingMs(ToDuration(aRefusal.m_remaining));
}

void WriteLeaving(wire::LeavingServer::Builder aEntry, const ServerRun& aServer)
{
  aEntry.setServer(aServer.m_server.Value());
  aEntry.setRun(aServer.m_run.Value());
}

void WriteRow(wire::Row::Builder aEntry, const StoredRow& aRow)
{
  aEntry.setKey(aRow.m_key);
  aEntry.setVersion(aRow.m_version.Value());
  aEntry.setGone(!aRow.m_value.has_value());
  if (!aRow.m_value) {
    return;
  }
  if (aRow.m_packed) {
    aEntry.setPacked(BytesOf(*aRow.m_packed));
    aEntry.setUnpackedBytes(static_cast<uint32_t>(aRow.m_value->size()));
  } else {
    aEntry.setValue(BytesOf(*aRow.m_value));
  }
}

void ReadValue(wire::Row::Reader aEntry, StoredRow& aRow)
{
  if (!aEntry.hasPacked()) {
    aRow.m_value = ToText(aEntry.getValue());
    return;
  }
  aRow.m_packed =
    std::make_shared<const std::string>(ToText(aEntry.getPacked()));
  aRow.m_value = UnpackValue(*aRow.m_packed, aEntry.getUnpackedBytes());
  KJ_REQUIRE(aRow.m_value.has_value(), "a compressed value cannot be read");
}

void WriteRowChanges(wire::HandedRows::Builder aEntry,
                     const RowChanges& aChanges)
{
  aEntry.setFeed(static_cast<uint8_t>(aChanges.m_feed));
  aEntry.setAfter(aChanges.m_after.Value());
  aEntry.setUpTo(aChanges.m_upTo.Value());
  aEntry.setLast(aChanges.m_isLast);
  aEntry.setNamesRemovals(aChanges.m_namesRemovals);
  aEntry.setChecksum(aChanges.m_checksum.value_or(RowsChecksum()).Value());
  WriteList(
    aEntry.initRows(SizeOf(aChanges.m_rows)), aChanges.m_rows, WriteRow);
}

std::vector<RowChanges> ReadRowChanges(
  capnp::List<wire::HandedRows>::Reader aList)
{
  std::vector<RowChanges> list;
  for (const auto entry : aList) {
    if (entry.getFeed() >= kFeedCount) {
      continue;
    }
    RowChanges changes;
    changes.m_feed = static_cast<Feed>(entry.getFeed());
    changes.m_after = RowVersion(entry.getAfter());
    changes.m_upTo = RowVersion(entry.getUpTo());
    changes.m_isLast = entry.getLast();
    changes.m_namesRemovals = entry.getNamesRemovals();
    if (entry.getChecksum() != 0) {
      changes.m_checksum = RowsChecksum(entry.getChecksum());
    }
    for (const auto read : entry.getRows()) {
      StoredRow row;
      row.m_feed = changes.m_feed;
      row.m_key = ToText(read.getKey());
      row.m_version = RowVersion(read.getVersion());
      if (!read.getGone()) {
        ReadValue(read, row);
      }
      changes.m_rows.push_back(std::move(row));
    }
    list.push_back(std::move(changes));
  }
  return list;
}

void WriteBulletin(wire::Bulletin::Builder aEntry, const Bulletin& aBulletin)
{
  aEntry.setOrigin(aBulletin.m_origin.Value());
  aEntry.setIncarnation(aBulletin.m_incarnation);
  aEntry.setNumber(aBulletin.m_number);
  aEntry.setAgeMs(ToDuration(aBulletin.m_age.WhenSent()));
  aEntry.setServersComplete(aBulletin.m_serversComplete.Value());
  WriteEntryDoubt(aEntry, aBulletin.m_entryDoubt);
  const HarmNotices& harm = aBulletin.m_harm;
  WriteList(aEntry.initEvidence(SizeOf(harm.m_evidence)),
            harm.m_evidence,
            WriteEvidence);
  WriteList(aEntry.initClearances(SizeOf(harm.m_clearances)),
            harm.m_clearances,
            WriteClearance);
  WriteList(aEntry.initRateLimits(SizeOf(aBulletin.m_rateLimits)),
            aBulletin.m_rateLimits,
            WriteRateLimit);
  WriteList(aEntry.initLeavingServers(SizeOf(aBulletin.m_leavingServers)),
            aBulletin.m_leavingServers,
            WriteLeaving);
  WriteIds(aEntry.initEnded(SizeOf(aBulletin.m_endedGroups)),
           aBulletin.m_endedGroups);
  WriteList(aEntry.initOpened(SizeOf(aBulletin.m_openedGroups)),
            aBulletin.m_openedGroups,
            WriteOpened);
  WriteList(aEntry.initHanded(SizeOf(aBulletin.m_rowChanges)),
            aBulletin.m_rowChanges,
            WriteRowChanges);
  aEntry.setStoreCheck(static_cast<uint8_t>(aBulletin.m_storeCheck));
}

RequestTrait ReadTrait(wire::RequestTrait::Reader aEntry)
{
  const bool isPart =
    aEntry.getKind() == static_cast<uint8_t>(TraitKind::PromptPart);
  return RequestTrait{ isPart ? TraitKind::PromptPart : TraitKind::Request,
                       aEntry.getValue() };
}

std::vector<RequestTrait> ReadTraits(
  capnp::List<wire::RequestTrait>::Reader aEntries)
{
  std::vector<RequestTrait> traits;
  for (const auto entry : aEntries) {
    traits.push_back(ReadTrait(entry));
  }
  return traits;
}

CrashEvidence ReadEvidence(wire::CrashEvidence::Reader aEntry)
{
  CrashEvidence evidence;
  evidence.m_server = ServerRun{ HostId(ToText(aEntry.getServer())),
                                 BootId(ToText(aEntry.getRun())) };
  evidence.m_domain = DomainId(ToText(aEntry.getDomain()));
  evidence.m_age = Millis(aEntry.getAgeMs());
  evidence.m_traits = ReadTraits(aEntry.getTraits());
  return evidence;
}

RateLimitNotice ReadRateLimit(wire::RateLimitNotice::Reader aEntry)
{
  RateLimitNotice notice;
  notice.m_server = ServerRun{ HostId(ToText(aEntry.getServer())),
                               BootId(ToText(aEntry.getRun())) };
  if (aEntry.getLimited()) {
    notice.m_rate = aEntry.getRate();
  }
  notice.m_age = Millis(aEntry.getAgeMs());
  return notice;
}

TraitRefusal ReadRefusal(wire::TraitRefusal::Reader aEntry)
{
  return TraitRefusal{ ReadTrait(aEntry.getTrait()),
                       ReadTraits(aEntry.getCompanions()),
                       Millis(aEntry.getCrashAgeMs()),
                       Millis(aEntry.getRemainingMs()) };
}

// Returns a notice as read; an unknown one counts as none.
StoreCheckNotice ReadStoreCheck(uint8_t aValue)
{
  return aValue <= static_cast<uint8_t>(StoreCheckNotice::Served)
           ? static_cast<StoreCheckNotice>(aValue)
           : StoreCheckNotice::None;
}

Bulletin ReadBulletin(wire::Bulletin::Reader aMessage)
{
  Bulletin bulletin;
  bulletin.m_origin = NodeId(ToText(aMessage.getOrigin()));
  bulletin.m_incarnation = aMessage.getIncarnation();
  bulletin.m_number = aMessage.getNumber();
  bulletin.m_age = ToldAge(Millis(aMessage.getAgeMs()));
  bulletin.m_serversComplete = RowVersion(aMessage.getServersComplete());
  bulletin.m_entryDoubt = ReadEntryDoubt(aMessage);
  for (const auto entry : aMessage.getEvidence()) {
    bulletin.m_harm.m_evidence.push_back(ReadEvidence(entry));
  }
  for (const auto entry : aMessage.getClearances()) {
    bulletin.m_harm.m_clearances.push_back(
      TraitClearance{ ReadTrait(entry.getTrait()), Millis(entry.getAgeMs()) });
  }
  for (const auto notice : aMessage.getRateLimits()) {
    bulletin.m_rateLimits.push_back(ReadRateLimit(notice));
  }
  for (const auto entry : aMessage.getLeavingServers()) {
    bulletin.m_leavingServers.push_back(ServerRun{
      HostId(ToText(entry.getServer())), BootId(ToText(entry.getRun())) });
  }
  bulletin.m_endedGroups = ReadIds<GroupId>(aMessage.getEnded());
  for (const auto entry : aMessage.getOpened()) {
    OpenedGroup group;
    group.m_group = GroupId(ToText(entry.getGroup()));
    group.m_generation = Generation(entry.getGeneration());
    group.m_members = ReadIds<HostId>(entry.getMembers());
    for (const int64_t start : entry.getStarts()) {
      group.m_starts.push_back(start);
    }
    bulletin.m_openedGroups.push_back(std::move(group));
  }
  bulletin.m_rowChanges = ReadRowChanges(aMessage.getHanded());
  bulletin.m_storeCheck = ReadStoreCheck(aMessage.getStoreCheck());
  return bulletin;
}

template<typename Count>
void WriteCounts(capnp::List<uint64_t>::Builder aList,
                 const std::vector<Count>& aCounts)
{
  for (unsigned index = 0; index < aList.size(); ++index) {
    aList.set(index, aCounts[index].Value());
  }
}

template<typename Count>
std::vector<Count> ReadCounts(capnp::List<uint64_t>::Reader aList)
{
  std::vector<Count> counts;
  for (const uint64_t count : aList) {
    counts.emplace_back(count);
  }
  return counts;
}

void WriteUpdate(wire::NodeNews::Builder aMessage, const NodeNews& aUpdate)
{
  aMessage.setNode(aUpdate.m_node.Value());
  aMessage.setIncarnation(aUpdate.m_incarnation);
  aMessage.setTellsSendTime(aUpdate.m_sentAt.has_value());
  aMessage.setSentAt(aUpdate.m_sentAt.value_or(Millis()).Count());
  aMessage.setRequestsEcho(aUpdate.m_requestsEcho);
  WriteCondition(aMessage.initCondition(), aUpdate.m_condition);
  const bool hasParts = !aUpdate.m_resumesAfter.empty();
  const std::vector<RowVersion>& resumesAfter =
    hasParts ? aUpdate.m_resumesAfter : aUpdate.m_completeUpTo;
  WriteCounts(aMessage.initComplete(SizeOf(resumesAfter)), resumesAfter);
  if (hasParts) {
    WriteCounts(aMessage.initKnown(SizeOf(aUpdate.m_completeUpTo)),
                aUpdate.m_completeUpTo);
  }
  WriteCounts(aMessage.initChecksums(SizeOf(aUpdate.m_checksums)),
              aUpdate.m_checksums);
  aMessage.setRosterKnownUpTo(aUpdate.m_rosterKnownUpTo.Count());
  if (aUpdate.m_storePeriod) {
    aMessage.setStoreAvailableSince(aUpdate.m_storePeriod->m_since.Count());
    aMessage.setStoreAvailableUntil(aUpdate.m_storePeriod->m_until.Count());
  }
  aMessage.setSubscription(static_cast<uint8_t>(aUpdate.m_subscription));
  aMessage.setReportNumber(aUpdate.m_reportNumber);
  aMessage.setWantsRows(aUpdate.m_requestsRows);
  aMessage.setReadsPacked(true);
  WriteList(
    aMessage.initLoads(SizeOf(aUpdate.m_loads)), aUpdate.m_loads, WriteLoad);
  WriteIds(aMessage.initSuspects(SizeOf(aUpdate.m_suspects)),
           aUpdate.m_suspects);
  WriteWork(aMessage.initWork(SizeOf(aUpdate.m_work)), aUpdate.m_work);
  if (aUpdate.m_fleet) {
    WriteDigest(aMessage.initFleet(), *aUpdate.m_fleet);
  }
  WriteList(
    aMessage.initZones(SizeOf(aUpdate.m_zones)), aUpdate.m_zones, WriteZone);
  WriteList(aMessage.initZoneAges(SizeOf(aUpdate.m_zoneAges)),
            aUpdate.m_zoneAges,
            WriteZoneAge);
  WriteList(aMessage.initBulletins(SizeOf(aUpdate.m_bulletins)),
            aUpdate.m_bulletins,
            WriteBulletin);
  WriteList(aMessage.initHanded(SizeOf(aUpdate.m_rowChanges)),
            aUpdate.m_rowChanges,
            WriteRowChanges);
  WriteList(aMessage.initRefusals(SizeOf(aUpdate.m_refusals)),
            aUpdate.m_refusals,
            WriteRefusal);
  WriteList(aMessage.initRateLimits(SizeOf(aUpdate.m_rateLimits)),
            aUpdate.m_rateLimits,
            WriteRateLimit);
}

Subscription ReadSubscription(uint8_t aValue)
{
  return aValue <= static_cast<uint8_t>(Subscription::All)
           ? static_cast<Subscription>(aValue)
           : Subscription::None;
}

NodeNews ReadUpdate(wire::NodeNews::Reader aMessage)
{
  NodeNews update;
  update.m_node = NodeId(ToText(aMessage.getNode()));
  update.m_incarnation = aMessage.getIncarnation();
  update.m_condition = ReadCondition(aMessage.getCondition());
  update.m_completeUpTo = ReadCounts<RowVersion>(aMessage.getComplete());
  update.m_completeUpTo.resize(kFeedCount);
  if (aMessage.hasKnown()) {
    update.m_resumesAfter = std::move(update.m_completeUpTo);
    update.m_completeUpTo = ReadCounts<RowVersion>(aMessage.getKnown());
    update.m_completeUpTo.resize(kFeedCount);
  }
  update.m_checksums = ReadCounts<RowsChecksum>(aMessage.getChecksums());
  update.m_rosterKnownUpTo = Millis(aMessage.getRosterKnownUpTo());
  if (aMessage.getStoreAvailableUntil() > 0) {
    update.m_storePeriod =
      StorePeriod{ Millis(aMessage.getStoreAvailableSince()),
                   Millis(aMessage.getStoreAvailableUntil()) };
  }
  if (aMessage.getTellsSendTime()) {
    update.m_sentAt = Millis(aMessage.getSentAt());
  }
  update.m_requestsEcho = aMessage.getRequestsEcho();
  update.m_subscription = ReadSubscription(aMessage.getSubscription());
  update.m_reportNumber = aMessage.getReportNumber();
  update.m_loads = ReadLoads(aMessage.getLoads());
  update.m_suspects = ReadIds<GroupId>(aMessage.getSuspects());
  update.m_work = ReadWork(aMessage.getWork());
  if (aMessage.hasFleet()) {
    update.m_fleet = ReadDigest(aMessage.getFleet());
  }
  for (const auto zone : aMessage.getZones()) {
    update.m_zones.push_back(ZoneDigest{ ZoneId(ToText(zone.getZone())),
                                         ToldAge(Millis(zone.getAgeMs())),
                                         ReadDigest(zone.getDigest()) });
  }
  for (const auto zone : aMessage.getZoneAges()) {
    update.m_zoneAges.push_back(ZoneAge{ ZoneId(ToText(zone.getZone())),
                                         ToldAge(Millis(zone.getAgeMs())) });
  }
  for (const auto bulletin : aMessage.getBulletins()) {
    update.m_bulletins.push_back(ReadBulletin(bulletin));
  }
  update.m_requestsRows = aMessage.getWantsRows();
  update.m_readsPacked = aMessage.getReadsPacked();
  update.m_rowChanges = ReadRowChanges(aMessage.getHanded());
  for (const auto refusal : aMessage.getRefusals()) {
    update.m_refusals.push_back(ReadRefusal(refusal));
  }
  for (const auto notice : aMessage.getRateLimits()) {
    update.m_rateLimits.push_back(ReadRateLimit(notice));
  }
  return update;
}

} // namespace

NodeRunKey MakeNodeRunKey(const NodeId& aNode, uint64_t aIncarnation)
{
  // The incarnation is not used as the hash's seed: for short names the two
  // would be combined by exclusive or.
  const std::string& name = aNode.Value();
  const uint64_t parts[] = { XXH3_64bits(name.data(), name.size()),
                             aIncarnation };
  return NodeRunKey(XXH3_64bits(parts, sizeof(parts)));
}

std::string EncodeNodeNews(const NodeNews& aUpdate)
{
  capnp::MallocMessageBuilder builder;
  WriteUpdate(builder.initRoot<wire::NodeNews>(), aUpdate);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto bytes = output.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

namespace {

uint64_t UnpackedBytesOf(capnp::List<wire::HandedRows>::Reader aChanges)
{
  uint64_t bytes = 0;
  for (const auto changes : aChanges) {
    for (const auto row : changes.getRows()) {
      bytes += row.hasPacked() ? row.getUnpackedBytes() : 0;
    }
  }
  return bytes;
}

// Returns what the compressed values of an update take in memory, as stated.
uint64_t UnpackedBytesOf(wire::NodeNews::Reader aMessage)
{
  uint64_t bytes = UnpackedBytesOf(aMessage.getHanded());
  for (const auto bulletin : aMessage.getBulletins()) {
    bytes += UnpackedBytesOf(bulletin.getHanded());
  }
  return bytes;
}

} // namespace

std::optional<NodeNews> DecodeNodeNews(const std::string& aBytes)
{
  std::optional<NodeNews> update;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(BytesOf(aBytes));
    // Memory is taken for the whole unpacked message before any of it is read.
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxUnpackedBytes / sizeof(capnp::word);
    capnp::PackedMessageReader reader(input, options);
    const auto message = reader.getRoot<wire::NodeNews>();
    // Anybody who reaches the port can send small messages of large values.
    KJ_REQUIRE(UnpackedBytesOf(message) <= kMaxPackedValueBytes,
               "the compressed values are too large together");
    update = ReadUpdate(message);
  });
  return failure == nullptr ? update : std::nullopt;
}

} // namespace briarglade
