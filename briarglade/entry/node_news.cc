// News in Cap'n Proto's format.

#include "briarglade/entry/node_news.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "briarglade/entry/node_news.capnp.h"
#include "briarglade/entry/row_cache.h"

namespace briarglade {

namespace {

constexpr uint32_t kMaxInFlight = 0xffff;

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

void WriteOpened(const NodeNews& aNews, wire::NodeNews::Builder aMessage)
{
  auto opened =
    aMessage.initOpened(static_cast<unsigned>(aNews.m_opened.size()));
  unsigned index = 0;
  for (const OpenedGroup& group : aNews.m_opened) {
    auto entry = opened[index++];
    entry.setGroup(group.m_group.Value());
    entry.setGeneration(group.m_generation.Value());
    auto members =
      entry.initMembers(static_cast<unsigned>(group.m_members.size()));
    unsigned rank = 0;
    for (const HostId& member : group.m_members) {
      members.set(rank++, member.Value());
    }
  }
}

void WriteCrashes(const NodeNews& aNews, wire::NodeNews::Builder aMessage)
{
  auto crashes =
    aMessage.initCrashes(static_cast<unsigned>(aNews.m_crashes.size()));
  unsigned index = 0;
  for (const CrashNotice& notice : aNews.m_crashes) {
    auto entry = crashes[index++];
    entry.setFingerprint(notice.m_fingerprint.Value());
    entry.setServer(notice.m_group.Value());
    entry.setRun(notice.m_boot.Value());
    entry.setRefuseForMs(notice.m_refuseFor.Count());
  }
}

void WriteLeaving(const NodeNews& aNews, wire::NodeNews::Builder aMessage)
{
  auto servers = aMessage.initLeavingServers(
    static_cast<unsigned>(aNews.m_leavingServers.size()));
  unsigned index = 0;
  for (const ServerRun& server : aNews.m_leavingServers) {
    auto entry = servers[index++];
    entry.setServer(server.m_server.Value());
    entry.setRun(server.m_run.Value());
  }
}

void ReadLeaving(wire::NodeNews::Reader aMessage, NodeNews& aNews)
{
  for (const auto entry : aMessage.getLeavingServers()) {
    aNews.m_leavingServers.push_back(ServerRun{
      HostId(ToText(entry.getServer())), BootId(ToText(entry.getRun())) });
  }
}

void ReadCrashes(wire::NodeNews::Reader aMessage, NodeNews& aNews)
{
  for (const auto entry : aMessage.getCrashes()) {
    CrashNotice notice;
    notice.m_node = aNews.m_node;
    notice.m_fingerprint = Fingerprint(entry.getFingerprint());
    notice.m_group = GroupId(ToText(entry.getServer()));
    notice.m_boot = BootId(ToText(entry.getRun()));
    notice.m_refuseFor = Millis(entry.getRefuseForMs());
    aNews.m_crashes.push_back(std::move(notice));
  }
}

void ReadOpened(wire::NodeNews::Reader aMessage, NodeNews& aNews)
{
  for (const auto entry : aMessage.getOpened()) {
    OpenedGroup group;
    group.m_group = GroupId(ToText(entry.getGroup()));
    group.m_generation = Generation(entry.getGeneration());
    for (const auto member : entry.getMembers()) {
      group.m_members.emplace_back(ToText(member));
    }
    aNews.m_opened.push_back(std::move(group));
  }
}

void WriteHanded(const NodeNews& aNews, wire::NodeNews::Builder aMessage)
{
  auto list = aMessage.initHanded(static_cast<unsigned>(aNews.m_handed.size()));
  unsigned index = 0;
  for (const HandedRows& handed : aNews.m_handed) {
    auto entry = list[index++];
    entry.setFeed(static_cast<uint8_t>(handed.m_feed));
    entry.setAfter(handed.m_after.Value());
    entry.setUpTo(handed.m_upTo.Value());
    auto rows = entry.initRows(static_cast<unsigned>(handed.m_rows.size()));
    unsigned place = 0;
    for (const StoredRow& row : handed.m_rows) {
      auto written = rows[place++];
      written.setKey(row.m_key);
      written.setVersion(row.m_version.Value());
      written.setGone(!row.m_value.has_value());
      if (row.m_value) {
        written.setValue(BytesOf(*row.m_value));
      }
    }
  }
}

void WriteLists(const NodeNews& aNews, wire::NodeNews::Builder aMessage)
{
  auto loads = aMessage.initLoads(static_cast<unsigned>(aNews.m_loads.size()));
  unsigned index = 0;
  for (const ServerLoad& load : aNews.m_loads) {
    auto entry = loads[index++];
    entry.setServer(load.m_server.Value());
    entry.setInFlight(
      static_cast<uint16_t>(std::min(load.m_inFlight, kMaxInFlight)));
    entry.setUnreadTokens(load.m_unreadTokens);
  }
  auto suspects =
    aMessage.initSuspects(static_cast<unsigned>(aNews.m_suspects.size()));
  index = 0;
  for (const GroupId& group : aNews.m_suspects) {
    suspects.set(index++, group.Value());
  }
  auto ended = aMessage.initEnded(static_cast<unsigned>(aNews.m_ended.size()));
  index = 0;
  for (const GroupId& group : aNews.m_ended) {
    ended.set(index++, group.Value());
  }
  auto complete =
    aMessage.initComplete(static_cast<unsigned>(aNews.m_complete.size()));
  index = 0;
  for (const RowVersion version : aNews.m_complete) {
    complete.set(index++, version.Value());
  }
}

void ReadHanded(wire::NodeNews::Reader aMessage, NodeNews& aNews)
{
  for (const auto entry : aMessage.getHanded()) {
    if (entry.getFeed() >= kFeedCount) {
      continue;
    }
    HandedRows handed;
    handed.m_feed = static_cast<Feed>(entry.getFeed());
    handed.m_after = RowVersion(entry.getAfter());
    handed.m_upTo = RowVersion(entry.getUpTo());
    for (const auto read : entry.getRows()) {
      StoredRow row;
      row.m_feed = handed.m_feed;
      row.m_key = ToText(read.getKey());
      row.m_version = RowVersion(read.getVersion());
      if (!read.getGone()) {
        row.m_value = ToText(read.getValue());
      }
      handed.m_rows.push_back(std::move(row));
    }
    aNews.m_handed.push_back(std::move(handed));
  }
}

NodeNews ReadNews(wire::NodeNews::Reader aMessage)
{
  NodeNews news;
  news.m_node = NodeId(ToText(aMessage.getNode()));
  news.m_incarnation = aMessage.getIncarnation();
  news.m_isLeaving = aMessage.getLeaving();
  news.m_isReady = aMessage.getReady();
  news.m_hasTraffic = aMessage.getHasTraffic();
  for (const auto load : aMessage.getLoads()) {
    news.m_loads.push_back(ServerLoad{ HostId(ToText(load.getServer())),
                                       load.getInFlight(),
                                       load.getUnreadTokens() });
  }
  for (const auto group : aMessage.getSuspects()) {
    news.m_suspects.emplace_back(ToText(group));
  }
  for (const auto group : aMessage.getEnded()) {
    news.m_ended.emplace_back(ToText(group));
  }
  for (const uint64_t version : aMessage.getComplete()) {
    news.m_complete.emplace_back(version);
  }
  news.m_complete.resize(kFeedCount);
  news.m_wantsRows = aMessage.getWantsRows();
  news.m_isStoreLost = aMessage.getStoreLost();
  news.m_isStoreDisturbed = aMessage.getStoreDisturbed();
  news.m_rosterKnownUpTo = Millis(aMessage.getRosterKnownUpTo());
  ReadOpened(aMessage, news);
  ReadCrashes(aMessage, news);
  ReadLeaving(aMessage, news);
  ReadHanded(aMessage, news);
  return news;
}

} // namespace

std::string EncodeNodeNews(const NodeNews& aNews)
{
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<wire::NodeNews>();
  message.setNode(aNews.m_node.Value());
  message.setIncarnation(aNews.m_incarnation);
  message.setLeaving(aNews.m_isLeaving);
  message.setReady(aNews.m_isReady);
  message.setHasTraffic(aNews.m_hasTraffic);
  message.setWantsRows(aNews.m_wantsRows);
  message.setStoreLost(aNews.m_isStoreLost);
  message.setStoreDisturbed(aNews.m_isStoreDisturbed);
  message.setRosterKnownUpTo(aNews.m_rosterKnownUpTo.Count());
  WriteLists(aNews, message);
  WriteOpened(aNews, message);
  WriteCrashes(aNews, message);
  WriteLeaving(aNews, message);
  WriteHanded(aNews, message);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto bytes = output.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

std::optional<NodeNews> DecodeNodeNews(const std::string& aBytes)
{
  std::optional<NodeNews> news;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(BytesOf(aBytes));
    capnp::PackedMessageReader reader(input);
    news = ReadNews(reader.getRoot<wire::NodeNews>());
  });
  return failure == nullptr ? news : std::nullopt;
}

} // namespace briarglade
