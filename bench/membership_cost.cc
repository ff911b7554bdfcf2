// Measures what a node's control work costs at rest: membership's core, codec
// and envelopes on virtual time, for several roster sizes, with the table
// answering and with the table down.
//
// Usage: membership_cost [NODES...]
//
// Bytes count both directions of one node. Peer bytes are those of the
// envelope's fields; table bytes those of the HTTP exchange. Framing by TCP and
// RPC is not counted. Processor time includes the harness, so it is an upper
// bound of the core's.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "briarglade/membership/envelope_opener.h"
#include "briarglade/membership/envelope_sealer.h"
#include "briarglade/membership/fact_row.h"
#include "briarglade/membership/fake_region_test.h"
#include "briarglade/membership/peer_codec.h"

namespace briarglade {
namespace {

constexpr Millis kWarmUp = Millis(10'000);
constexpr Millis kMeasured = Millis(60'000);
constexpr double kBudgetBytes = 5'000;
constexpr double kBudgetPercent = 1.1;
const char* const kClusterKey = "0123456789abcdef0123456789abcdef";

double ProcessorSeconds()
{
  timespec time = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

// Puts a message through sealing, checking and both ways of the codec.
class Wire
{
public:
  void Carry(const PeerMessage& aMessage)
  {
    const Envelope envelope =
      m_sealer.Seal(NodeId("n001"), EncodePeerMessage(aMessage));
    m_bytes +=
      envelope.m_cluster.size() + sizeof(envelope.m_protocol) +
      envelope.m_sender.Value().size() + sizeof(envelope.m_incarnation) +
      envelope.m_receiver.Value().size() + sizeof(envelope.m_sequence) +
      envelope.m_proof.size() + envelope.m_payload.size();
    ++m_messages;
    const bool isDropped = m_opener.Check(envelope).has_value();
    if (isDropped ||
        GetError(DecodePeerMessage(envelope.m_payload)) != nullptr) {
      std::fprintf(stderr, "a message was dropped\n");
      std::exit(1);
    }
  }

  uint64_t m_bytes = 0;
  uint64_t m_messages = 0;

private:
  EnvelopeSealer m_sealer{ "westsign", kClusterKey, NodeId("n000"), 1 };
  EnvelopeOpener m_opener{ "westsign", kClusterKey, NodeId("n001") };
};

// Writes a roster of all nodes, as if they had joined one by one.
void WriteRoster(FakeRegion& aRegion)
{
  RosterFact roster;
  for (size_t i = 0; i < aRegion.m_nodes.size(); ++i) {
    const MembershipSettings& settings = aRegion.m_nodes[i].m_state.m_settings;
    roster.m_nodes.push_back(RosterNode{ settings.m_self,
                                         settings.m_endpoint,
                                         settings.m_zone,
                                         settings.m_callerEndpoint });
  }
  roster.m_step = RosterStep::Move;
  roster.m_changed = roster.m_nodes.front();
  ChangeRecord change;
  change.m_version = 1;
  change.m_operation = OperationId("roster");
  TableWrite write;
  write.m_operation = change.m_operation;
  write.m_key =
    FactKey(RegionId("wa-south"), FactName{ FactKind::Roster, ZoneId() });
  write.m_value = WriteRosterFact(roster, change, "");
  aRegion.m_table.Write(write);
}

// The bytes of one table read that shows no change, as HTTP text.
size_t TableReadBytes()
{
  const std::string request =
    "GET /v1/rows?prefix=fact/wa-south/&since=123456 HTTP/1.1\r\n"
    "Host: 10.0.0.1:4000\r\nContent-Length: 0\r\n\r\n";
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 29\r\nDate: Fri, 04 Dec 2026 00:00:00 GMT\r\n\r\n"
    "{\"change\":123456,\"rows\":[]}";
  return request.size() + answer.size();
}

void Measure(size_t aNodes, bool aIsTableDown)
{
  FakeRegion region(aNodes);
  WriteRoster(region);
  region.Run(Millis(2'000));
  region.Apply(0, 0);
  region.Run(kWarmUp);
  uint64_t gaps = 0;
  uint64_t instants = 0;
  region.m_onTick = [&] {
    gaps += aNodes - region.CountConfirmed();
    instants += aNodes;
  };
  // The gap includes the moments when the table is lost.
  region.m_table.m_isDown = aIsTableDown;
  region.Run(kWarmUp);
  Wire wire;
  region.m_onMessage = [&](const PeerMessage& aMessage) {
    wire.Carry(aMessage);
  };
  const uint64_t readsBefore = region.m_table.Reads();
  const double before = ProcessorSeconds();
  region.Run(kMeasured);
  const double spent = ProcessorSeconds() - before;
  const double seconds = static_cast<double>(kMeasured.Count()) / 1e3;
  const double nodes = static_cast<double>(aNodes);
  const double peerBytes =
    2 * static_cast<double>(wire.m_bytes) / nodes / seconds;
  const double reads =
    static_cast<double>(region.m_table.Reads() - readsBefore) / seconds;
  const double tableBytes =
    reads / nodes * static_cast<double>(TableReadBytes());
  const double percent = spent / seconds / nodes * 100;
  const bool isWithin =
    peerBytes + tableBytes <= kBudgetBytes && percent <= kBudgetPercent;
  std::printf("%5zu  %-6s %9.1f %9.0f %8.0f %8.0f %9.4f %9.1f %9.3f  %s\n",
              aNodes,
              aIsTableDown ? "down" : "up",
              2 * static_cast<double>(wire.m_messages) / nodes / seconds,
              peerBytes,
              tableBytes,
              peerBytes + tableBytes,
              percent,
              reads,
              100 * static_cast<double>(gaps) / static_cast<double>(instants),
              isWithin ? "within" : "OVER");
}

// Measures what a change adds to the rest, and how long until it is accepted
// when each message takes a millisecond.
void MeasureChange(size_t aNodes)
{
  FakeRegion region(aNodes);
  WriteRoster(region);
  region.Run(Millis(2'000));
  region.Apply(0, 0);
  region.Run(kWarmUp);
  Wire wire;
  region.m_onMessage = [&](const PeerMessage& aMessage) {
    wire.Carry(aMessage);
  };
  region.Run(kWarmUp);
  const uint64_t restBytes = wire.m_bytes;
  const uint64_t restMessages = wire.m_messages;
  const Millis began = region.Now();
  const CommandId command = region.Apply(0, 1);
  while (region.CodeOf(command) != ResultCode::Ok) {
    region.Run(Millis(1));
  }
  const Millis accepted = region.Now() - began;
  region.Run(kWarmUp - accepted);
  const double nodes = static_cast<double>(aNodes);
  std::printf(
    "%5zu  %8.1f %9.0f %8lld\n",
    aNodes,
    2 * static_cast<double>(wire.m_messages - 2 * restMessages) / nodes,
    2 *
      (static_cast<double>(wire.m_bytes) - 2 * static_cast<double>(restBytes)) /
      nodes,
    static_cast<long long>(accepted.Count()));
}

} // namespace
} // namespace briarglade

int main(int aCount, char** aValues)
{
  std::vector<size_t> sizes;
  for (int i = 1; i < aCount; ++i) {
    sizes.push_back(std::strtoul(aValues[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = { 9, 40, 80, 160, 320 };
  }
  std::printf("One node's control work, one roster; budget 5000 B/s and 1.1 %% "
              "of a core.\n");
  std::printf("nodes  table  messages/s  peer B/s table B/s  all B/s    core %%"
              "  reads/s  unconf. %%\n");
  for (const size_t nodes : sizes) {
    briarglade::Measure(nodes, false);
    briarglade::Measure(nodes, true);
  }
  std::printf("\nWhat one change of configuration adds, for each node.\n"
              "nodes  messages     bytes  accepted after ms\n");
  for (const size_t nodes : sizes) {
    briarglade::MeasureChange(nodes);
  }
  return 0;
}
