// Peer messages as packed Cap'n Proto.

#include "briarglade/membership/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <exception>
#include <kj/exception.h>
#include <kj/io.h>

#include "briarglade/base/overloaded.h"
#include "briarglade/membership/peer_message.capnp.h"

namespace briarglade {

namespace {

constexpr int kMaxNesting = 16;

// A value outside of its enumeration.
struct InvalidValue : std::exception
{};

template<typename Enumeration>
Enumeration ReadEnumerator(uint8_t aValue, Enumeration aLast)
{
  if (aValue > static_cast<uint8_t>(aLast)) {
    throw InvalidValue();
  }
  return static_cast<Enumeration>(aValue);
}

template<typename Id>
Id ReadId(capnp::Text::Reader aText)
{
  return Id(std::string(aText.begin(), aText.size()));
}

std::string ReadText(capnp::Text::Reader aText)
{
  return std::string(aText.begin(), aText.size());
}

template<typename Container>
capnp::Data::Reader AsData(const Container& aBytes)
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

template<typename Id>
void WriteIds(capnp::List<capnp::Text>::Builder aTo,
              const std::vector<Id>& aIds)
{
  for (size_t i = 0; i < aIds.size(); ++i) {
    aTo.set(static_cast<unsigned>(i), aIds[i].Value().c_str());
  }
}

template<typename Id>
std::vector<Id> ReadIds(capnp::List<capnp::Text>::Reader aFrom)
{
  std::vector<Id> ids;
  for (const auto text : aFrom) {
    ids.push_back(ReadId<Id>(text));
  }
  return ids;
}

void Write(wire::ZoneVersion::Builder aTo, const ZoneVersion& aFrom);
void Read(wire::ZoneVersion::Reader aFrom, ZoneVersion& aTo);
void Write(wire::FactRow::Builder aTo, const FactRow& aFrom);
void Read(wire::FactRow::Reader aFrom, FactRow& aTo);
void Write(wire::ZoneHold::Builder aTo, const ZoneHold& aFrom);
void Read(wire::ZoneHold::Reader aFrom, ZoneHold& aTo);
void Write(wire::ServerReport::Builder aTo, const ServerReport& aFrom);
void Read(wire::ServerReport::Reader aFrom, ServerReport& aTo);

// Writes or reads every element of a list with the Write and Read below.
template<typename Builder, typename Element>
void WriteList(Builder aTo, const std::vector<Element>& aElements)
{
  for (size_t i = 0; i < aElements.size(); ++i) {
    Write(aTo[static_cast<unsigned>(i)], aElements[i]);
  }
}

template<typename Element, typename Reader>
std::vector<Element> ReadList(Reader aFrom)
{
  std::vector<Element> elements;
  for (const auto entry : aFrom) {
    elements.emplace_back();
    Read(entry, elements.back());
  }
  return elements;
}

unsigned SizeOf(size_t aCount)
{
  return static_cast<unsigned>(aCount);
}

void Write(wire::ZoneVersion::Builder aTo, const ZoneVersion& aFrom)
{
  aTo.setZone(aFrom.m_zone.Value().c_str());
  aTo.setVersion(aFrom.m_version);
}

void Read(wire::ZoneVersion::Reader aFrom, ZoneVersion& aTo)
{
  aTo.m_zone = ReadId<ZoneId>(aFrom.getZone());
  aTo.m_version = aFrom.getVersion();
}

void Write(wire::FactsVersion::Builder aTo, const FactsVersion& aFrom)
{
  aTo.setConfig(aFrom.m_config);
  aTo.setRoster(aFrom.m_roster);
  WriteList(aTo.initZones(SizeOf(aFrom.m_zones.size())), aFrom.m_zones);
}

// Sets each zone by name: the bytes may hold them in any order, or twice.
void Read(wire::FactsVersion::Reader aFrom, FactsVersion& aTo)
{
  aTo.m_config = aFrom.getConfig();
  aTo.m_roster = aFrom.getRoster();
  for (const auto entry : aFrom.getZones()) {
    ZoneVersion zone;
    Read(entry, zone);
    aTo.Set(FactName{ FactKind::Zone, zone.m_zone }, zone.m_version);
  }
}

void Write(wire::FactRow::Builder aTo, const FactRow& aFrom)
{
  aTo.setKind(static_cast<uint8_t>(aFrom.m_name.m_kind));
  aTo.setZone(aFrom.m_name.m_zone.Value().c_str());
  aTo.setVersion(aFrom.m_version);
  aTo.setRowVersion(aFrom.m_rowVersion.Value());
  aTo.setOperation(aFrom.m_operation.Value().c_str());
  aTo.setValue(AsData(aFrom.m_value));
}

void Read(wire::FactRow::Reader aFrom, FactRow& aTo)
{
  aTo.m_name.m_kind = ReadEnumerator(aFrom.getKind(), FactKind::Zone);
  aTo.m_name.m_zone = ReadId<ZoneId>(aFrom.getZone());
  aTo.m_version = aFrom.getVersion();
  aTo.m_rowVersion = RowVersion(aFrom.getRowVersion());
  aTo.m_operation = ReadId<OperationId>(aFrom.getOperation());
  const auto value = aFrom.getValue().asChars();
  aTo.m_value.assign(value.begin(), value.size());
}

void Write(wire::ZoneHold::Builder aTo, const ZoneHold& aFrom)
{
  aTo.setZone(aFrom.m_zone.Value().c_str());
  aTo.setBase(aFrom.m_base);
  aTo.setOperation(aFrom.m_operation.Value().c_str());
  aTo.setWho(aFrom.m_who.c_str());
  aTo.setWhy(aFrom.m_why.c_str());
  aTo.setWhenUnixMs(aFrom.m_whenUnixMs);
}

void Read(wire::ZoneHold::Reader aFrom, ZoneHold& aTo)
{
  aTo.m_zone = ReadId<ZoneId>(aFrom.getZone());
  aTo.m_base = aFrom.getBase();
  aTo.m_operation = ReadId<OperationId>(aFrom.getOperation());
  aTo.m_who = ReadText(aFrom.getWho());
  aTo.m_why = ReadText(aFrom.getWhy());
  aTo.m_whenUnixMs = aFrom.getWhenUnixMs();
}

void Write(wire::FactsAsk::Builder aTo, const FactsAsk& aFrom)
{
  aTo.setSequence(aFrom.m_sequence);
  Write(aTo.initVersion(), aFrom.m_version);
  aTo.setReplyIp(aFrom.m_replyTo.m_ip.c_str());
  aTo.setReplyPort(aFrom.m_replyTo.m_port);
  aTo.setWantsAllRows(aFrom.m_wantsAllRows);
  WriteList(aTo.initHolds(SizeOf(aFrom.m_holds.size())), aFrom.m_holds);
}

void Read(wire::FactsAsk::Reader aFrom, FactsAsk& aTo)
{
  aTo.m_sequence = aFrom.getSequence();
  Read(aFrom.getVersion(), aTo.m_version);
  aTo.m_replyTo =
    Endpoint{ ReadText(aFrom.getReplyIp()), aFrom.getReplyPort() };
  aTo.m_wantsAllRows = aFrom.getWantsAllRows();
  aTo.m_holds = ReadList<ZoneHold>(aFrom.getHolds());
}

void Write(wire::FactsAnswer::Builder aTo, const FactsAnswer& aFrom)
{
  aTo.setSequence(aFrom.m_sequence);
  Write(aTo.initVersion(), aFrom.m_version);
  aTo.setVouches(aFrom.m_vouches);
  aTo.setVouchAges(AsData(aFrom.m_vouchAges));
  aTo.setHolders(AsData(aFrom.m_holders));
  aTo.setConfirmedAge(aFrom.m_confirmedAge.Count());
  WriteList(aTo.initRows(SizeOf(aFrom.m_rows.size())), aFrom.m_rows);
  WriteList(aTo.initHolds(SizeOf(aFrom.m_holds.size())), aFrom.m_holds);
}

void Read(wire::FactsAnswer::Reader aFrom, FactsAnswer& aTo)
{
  aTo.m_sequence = aFrom.getSequence();
  Read(aFrom.getVersion(), aTo.m_version);
  aTo.m_vouches = aFrom.getVouches();
  aTo.m_vouchAges.assign(aFrom.getVouchAges().begin(),
                         aFrom.getVouchAges().end());
  aTo.m_holders.assign(aFrom.getHolders().begin(), aFrom.getHolders().end());
  aTo.m_confirmedAge = Millis(aFrom.getConfirmedAge());
  aTo.m_rows = ReadList<FactRow>(aFrom.getRows());
  aTo.m_holds = ReadList<ZoneHold>(aFrom.getHolds());
}

void Write(wire::FactsPush::Builder aTo, const FactsPush& aFrom)
{
  aTo.setSequence(aFrom.m_sequence);
  Write(aTo.initVersion(), aFrom.m_version);
  aTo.setReplyIp(aFrom.m_replyTo.m_ip.c_str());
  aTo.setReplyPort(aFrom.m_replyTo.m_port);
  aTo.setVouches(aFrom.m_vouches);
  WriteList(aTo.initRows(SizeOf(aFrom.m_rows.size())), aFrom.m_rows);
  WriteList(aTo.initHolds(SizeOf(aFrom.m_holds.size())), aFrom.m_holds);
}

void Read(wire::FactsPush::Reader aFrom, FactsPush& aTo)
{
  aTo.m_sequence = aFrom.getSequence();
  Read(aFrom.getVersion(), aTo.m_version);
  aTo.m_replyTo =
    Endpoint{ ReadText(aFrom.getReplyIp()), aFrom.getReplyPort() };
  aTo.m_vouches = aFrom.getVouches();
  aTo.m_rows = ReadList<FactRow>(aFrom.getRows());
  aTo.m_holds = ReadList<ZoneHold>(aFrom.getHolds());
}

void Write(wire::FactsAck::Builder aTo, const FactsAck& aFrom)
{
  aTo.setSequence(aFrom.m_sequence);
  Write(aTo.initVersion(), aFrom.m_version);
  aTo.setVouches(aFrom.m_vouches);
  WriteIds(aTo.initHolds(SizeOf(aFrom.m_holds.size())), aFrom.m_holds);
}

void Read(wire::FactsAck::Reader aFrom, FactsAck& aTo)
{
  aTo.m_sequence = aFrom.getSequence();
  Read(aFrom.getVersion(), aTo.m_version);
  aTo.m_vouches = aFrom.getVouches();
  aTo.m_holds = ReadIds<OperationId>(aFrom.getHolds());
}

void Write(wire::ServerReport::Builder aTo, const ServerReport& aFrom)
{
  aTo.setHost(aFrom.m_host.Value().c_str());
  aTo.setBoot(aFrom.m_boot.Value().c_str());
  aTo.setGroup(aFrom.m_group.Value().c_str());
  aTo.setGeneration(aFrom.m_generation.Value());
  aTo.setModel(aFrom.m_model.Value().c_str());
  aTo.setPhase(static_cast<uint8_t>(aFrom.m_phase));
  aTo.setFencing(aFrom.m_fencing.Value());
  aTo.setLoad(aFrom.m_load);
  aTo.setLoadAge(aFrom.m_loadAge.Count());
  aTo.setUptime(aFrom.m_uptime.Count());
  aTo.setStepTime(aFrom.m_stepTime.Count());
  aTo.setAge(aFrom.m_receivedAt.Count());
}

void Read(wire::ServerReport::Reader aFrom, ServerReport& aTo)
{
  aTo.m_host = ReadId<HostId>(aFrom.getHost());
  aTo.m_boot = ReadId<BootId>(aFrom.getBoot());
  aTo.m_group = ReadId<GroupId>(aFrom.getGroup());
  aTo.m_generation = Generation(aFrom.getGeneration());
  aTo.m_model = ReadId<ModelId>(aFrom.getModel());
  aTo.m_phase = ReadEnumerator(aFrom.getPhase(), MemberPhase::Draining);
  aTo.m_fencing = FencingToken(aFrom.getFencing());
  aTo.m_load = aFrom.getLoad();
  aTo.m_loadAge = Millis(aFrom.getLoadAge());
  aTo.m_uptime = Millis(aFrom.getUptime());
  aTo.m_stepTime = Millis(aFrom.getStepTime());
  aTo.m_receivedAt = Millis(aFrom.getAge());
}

void Write(wire::PresenceNews::Builder aTo, const PresenceNews& aFrom)
{
  aTo.setWatcher(aFrom.m_watcher.Value().c_str());
  aTo.setSequence(aFrom.m_sequence);
  WriteList(aTo.initReports(SizeOf(aFrom.m_reports.size())), aFrom.m_reports);
  WriteIds(aTo.initSilent(SizeOf(aFrom.m_silent.size())), aFrom.m_silent);
}

void Read(wire::PresenceNews::Reader aFrom, PresenceNews& aTo)
{
  aTo.m_watcher = ReadId<NodeId>(aFrom.getWatcher());
  aTo.m_sequence = aFrom.getSequence();
  aTo.m_reports = ReadList<ServerReport>(aFrom.getReports());
  aTo.m_silent = ReadIds<HostId>(aFrom.getSilent());
}

void Write(wire::InFlightNews::Builder aTo, const InFlightNews& aFrom)
{
  aTo.setNode(aFrom.m_node.Value().c_str());
  aTo.setGroup(aFrom.m_group.Value().c_str());
  aTo.setGeneration(aFrom.m_generation.Value());
  aTo.setInFlight(aFrom.m_inFlight);
}

void Read(wire::InFlightNews::Reader aFrom, InFlightNews& aTo)
{
  aTo.m_node = ReadId<NodeId>(aFrom.getNode());
  aTo.m_group = ReadId<GroupId>(aFrom.getGroup());
  aTo.m_generation = Generation(aFrom.getGeneration());
  aTo.m_inFlight = aFrom.getInFlight();
}

void Write(wire::CrashNotice::Builder aTo, const CrashNotice& aFrom)
{
  aTo.setNode(aFrom.m_node.Value().c_str());
  aTo.setFingerprint(aFrom.m_fingerprint.Value());
  aTo.setGroup(aFrom.m_group.Value().c_str());
  aTo.setBoot(aFrom.m_boot.Value().c_str());
  aTo.setRefuseFor(aFrom.m_refuseFor.Count());
}

void Read(wire::CrashNotice::Reader aFrom, CrashNotice& aTo)
{
  aTo.m_node = ReadId<NodeId>(aFrom.getNode());
  aTo.m_fingerprint = Fingerprint(aFrom.getFingerprint());
  aTo.m_group = ReadId<GroupId>(aFrom.getGroup());
  aTo.m_boot = ReadId<BootId>(aFrom.getBoot());
  aTo.m_refuseFor = Millis(aFrom.getRefuseFor());
}

void Write(wire::NodeNews::Builder aTo, const NodeNews& aFrom)
{
  aTo.setNode(aFrom.m_node.Value().c_str());
  aTo.setLeaving(aFrom.m_leaving);
}

void Read(wire::NodeNews::Reader aFrom, NodeNews& aTo)
{
  aTo.m_node = ReadId<NodeId>(aFrom.getNode());
  aTo.m_leaving = aFrom.getLeaving();
}

template<typename Message, typename Reader>
PeerMessage ReadAs(Reader aFrom)
{
  Message message;
  Read(aFrom, message);
  return message;
}

PeerMessage ReadMessage(wire::PeerMessage::Reader aFrom)
{
  switch (aFrom.which()) {
    case wire::PeerMessage::FACTS_ASK:
      return ReadAs<FactsAsk>(aFrom.getFactsAsk());
    case wire::PeerMessage::FACTS_ANSWER:
      return ReadAs<FactsAnswer>(aFrom.getFactsAnswer());
    case wire::PeerMessage::FACTS_PUSH:
      return ReadAs<FactsPush>(aFrom.getFactsPush());
    case wire::PeerMessage::FACTS_ACK:
      return ReadAs<FactsAck>(aFrom.getFactsAck());
    case wire::PeerMessage::PRESENCE_NEWS:
      return ReadAs<PresenceNews>(aFrom.getPresenceNews());
    case wire::PeerMessage::IN_FLIGHT_NEWS:
      return ReadAs<InFlightNews>(aFrom.getInFlightNews());
    case wire::PeerMessage::CRASH_NOTICE:
      return ReadAs<CrashNotice>(aFrom.getCrashNotice());
    case wire::PeerMessage::NODE_NEWS:
      return ReadAs<NodeNews>(aFrom.getNodeNews());
  }
  throw InvalidValue();
}

void WriteMessage(wire::PeerMessage::Builder aTo, const PeerMessage& aFrom)
{
  std::visit(
    Overloaded{
      [&](const FactsAsk& aAsk) { Write(aTo.initFactsAsk(), aAsk); },
      [&](const FactsAnswer& aAnswer) {
        Write(aTo.initFactsAnswer(), aAnswer);
      },
      [&](const FactsPush& aPush) { Write(aTo.initFactsPush(), aPush); },
      [&](const FactsAck& aAck) { Write(aTo.initFactsAck(), aAck); },
      [&](const PresenceNews& aNews) { Write(aTo.initPresenceNews(), aNews); },
      [&](const InFlightNews& aNews) { Write(aTo.initInFlightNews(), aNews); },
      [&](const CrashNotice& aNotice) {
        Write(aTo.initCrashNotice(), aNotice);
      },
      [&](const NodeNews& aNews) { Write(aTo.initNodeNews(), aNews); } },
    aFrom);
}

Error Malformed(const char* aDetail)
{
  return Error{ ResultCode::MalformedRequest, aDetail };
}

} // namespace

std::string EncodePeerMessage(const PeerMessage& aMessage)
{
  capnp::MallocMessageBuilder builder;
  WriteMessage(builder.initRoot<wire::PeerMessage>(), aMessage);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray().asChars();
  return std::string(bytes.begin(), bytes.size());
}

Result<PeerMessage> DecodePeerMessage(std::string_view aBytes)
try {
  if (aBytes.size() > kMaxPeerMessageBytes) {
    return Malformed("the message is too long");
  }
  kj::ArrayInputStream stream(kj::arrayPtr(
    reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxPeerMessageBytes / sizeof(capnp::word);
  options.nestingLimit = kMaxNesting;
  capnp::PackedMessageReader reader(stream, options);
  PeerMessage message = ReadMessage(reader.getRoot<wire::PeerMessage>());
  if (stream.tryGetReadBuffer().size() != 0) {
    return Malformed("bytes follow the message");
  }
  return message;
} catch (const kj::Exception& exception) {
  return Malformed(exception.getDescription().cStr());
} catch (const std::exception&) {
  return Malformed("the message holds an invalid value");
}

} // namespace briarglade
