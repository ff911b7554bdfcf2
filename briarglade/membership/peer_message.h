// Everything that one node tells another.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/membership/fact_row.h"
#include "briarglade/placement/presence_news.h"
#include "briarglade/routing/crash_notice.h"

namespace briarglade {

// A zone that operators took out while the table couldn't be written: held out
// in memory until the table has it.
struct ZoneHold
{
  ZoneId m_zone;
  // The version of the zone that the hold replaces.
  uint64_t m_base = 0;
  OperationId m_operation;
  std::string m_who;
  std::string m_why;
  uint64_t m_whenUnixMs = 0;
};

// Asks a partner what it knows. Ages in the answer count from the asking.
struct FactsAsk
{
  uint64_t m_sequence = 0;
  FactsVersion m_version;
  // Where the answer goes if the asker isn't on the roster.
  Endpoint m_replyTo;
  // The asker can't read the table: send large rows too.
  bool m_wantsAllRows = false;
  std::vector<ZoneHold> m_holds;
};

// The answer to FactsAsk.
struct FactsAnswer
{
  uint64_t m_sequence = 0;
  FactsVersion m_version;
  // The sender has read the table since it started: it counts in majorities.
  bool m_vouches = false;
  // For each node of the sender's roster, in order: the age of its latest vouch
  // in kVouchAgeUnit, rounded up; kNoVouch: none.
  std::vector<uint8_t> m_vouchAges;
  // For each node of the roster, one bit: it is known to hold m_version.
  std::vector<uint8_t> m_holders;
  // The age of the sender's confirmation; negative: none.
  Millis m_confirmedAge = Millis(-1);
  // Rows that are newer than the asker's.
  std::vector<FactRow> m_rows;
  std::vector<ZoneHold> m_holds;
};

constexpr Millis kVouchAgeUnit = Millis(25);
constexpr uint8_t kNoVouch = 255;

// Tells of new facts; answered by FactsAck.
struct FactsPush
{
  uint64_t m_sequence = 0;
  FactsVersion m_version;
  // Where the acknowledgement goes if the sender isn't on the roster.
  Endpoint m_replyTo;
  bool m_vouches = false;
  // The newer rows, but for large ones.
  std::vector<FactRow> m_rows;
  std::vector<ZoneHold> m_holds;
};

// What the sender holds, in answer to FactsPush or once it has caught up.
struct FactsAck
{
  uint64_t m_sequence = 0;
  FactsVersion m_version;
  bool m_vouches = false;
  // The holds that the sender has in memory.
  std::vector<OperationId> m_holds;
};

// Whether callers should still be sent to a node. Told to every node when it
// changes.
struct NodeNews
{
  NodeId m_node;
  bool m_leaving = false;
};

using PeerMessage = std::variant<FactsAsk,
                                 FactsAnswer,
                                 FactsPush,
                                 FactsAck,
                                 PresenceNews,
                                 InFlightNews,
                                 CrashNotice,
                                 NodeNews>;

} // namespace briarglade
