// What one node knows of the accepted facts and of the other nodes. Nothing
// here outlives the process.

#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/membership/fact_row.h"
#include "briarglade/membership/operator_command.h"
#include "briarglade/membership/peer_message.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// Before any instant of the process.
constexpr Millis kNever = Millis(-1'000'000'000);

// Who this node is.
struct MembershipSettings
{
  NodeId m_self;
  RegionId m_region;
  ZoneId m_zone;
  // Where other nodes reach this one.
  Endpoint m_endpoint;
  // Where callers reach this one.
  Endpoint m_callerEndpoint;
  // The start of the process; higher than that of any earlier run.
  uint64_t m_incarnation = 0;
  // Other nodes' addresses, asked when neither table nor roster is known.
  std::vector<Endpoint> m_seeds;
};

// A node of the roster and what is known of it.
struct Member
{
  RosterNode m_node;
  // The latest instant, on this node's clock, at which the member is known to
  // have held nothing newer than this node does now.
  Millis m_vouchedAt = kNever;
  // What the member has acknowledged.
  FactsVersion m_holds;
  std::set<OperationId> m_zoneHolds;
  Millis m_avoidUntil = kNever;
  Millis m_pushedAt = kNever;
  // The question that waits for the member's answer; zero: none.
  uint64_t m_askSequence = 0;
  Millis m_askedAt = kNever;
};

// The question to a node that isn't known to be a member.
struct SeedAsk
{
  uint64_t m_sequence = 0;
  Millis m_askedAt = kNever;
};

// A read of the fact rows that hasn't ended.
struct PendingTableRead
{
  OperationId m_operation;
  Millis m_askedAt;
  uint64_t m_since = 0;
  // What the table must show if it hasn't lost anything.
  FactsVersion m_expected;
};

// A zone held out in memory, and when this node writes it to the table.
struct HeldZone
{
  ZoneHold m_hold;
  Millis m_writeAt;
  bool m_isWriting = false;
};

enum class ChangeStage
{
  // The write's answer is awaited.
  Writing,
  // The write's answer was lost; the row is read back.
  ReadingBack,
  // The table holds the change; acknowledgements are awaited.
  Gathering
};

// An operator's command that hasn't been answered.
struct PendingChange
{
  CommandId m_command;
  FactName m_fact;
  uint64_t m_version = 0;
  TableWrite m_write;
  ChangeStage m_stage = ChangeStage::Writing;
  Millis m_beganAt;
  // When the present step is tried again.
  Millis m_retryAt;
  OperationId m_readBack;
  bool m_mayBeWritten = false;
  // Set for a zone that is to go out: what to hold if the table is silent.
  std::optional<ZoneHold> m_hold;
  bool m_isHeld = false;
  std::string m_note;
};

// A node that waits for this one to catch up.
struct OwedAck
{
  NodeId m_node;
  Endpoint m_endpoint;
  uint64_t m_sequence = 0;
  FactsVersion m_version;
};

struct MembershipState
{
  MembershipSettings m_settings;
  UniqueIds m_ids;
  std::minstd_rand m_random;
  uint64_t m_sequence = 0;

  // Facts: what this node holds, and the highest versions it has heard of.
  std::map<FactName, FactRow> m_rows;
  FactsVersion m_held;
  FactsVersion m_heard;
  std::set<ZoneId> m_knownZones;
  std::map<ZoneId, HeldZone> m_holds;

  // Roster. Sorted by id.
  std::vector<Member> m_members;
  std::optional<RosterFact> m_roster;
  // The node that the latest change removed.
  std::optional<Member> m_departed;
  // Other members, best partner first.
  std::vector<NodeId> m_rankedPeers;
  bool m_isMember = false;
  OperationId m_rosterWrite;
  Millis m_rosterRetryAt = kNever;
  std::map<NodeId, Millis> m_notShownSince;
  bool m_isLeaving = false;
  Millis m_leavingSince;
  bool m_hasLeft = false;

  // Table.
  bool m_hasReadTable = false;
  bool m_isTableSilent = false;
  bool m_isTableSuspect = false;
  uint64_t m_tableChange = 0;
  // The versions that the table showed last.
  FactsVersion m_tableShows;
  // The rows' versions in the table, for conditional writes.
  std::map<FactName, RowVersion> m_tableRows;
  std::optional<PendingTableRead> m_tableRead;
  Millis m_nextTableReadAt = kNever;

  // Confirmation.
  Millis m_confirmedAt = kNever;
  bool m_wasConfirmed = false;

  // Partners.
  Millis m_nextAskAt = kNever;
  size_t m_askTurn = 0;
  SeedAsk m_seedAsk;
  std::vector<OwedAck> m_owedAcks;

  // Operators' commands.
  std::vector<PendingChange> m_changes;
};

} // namespace briarglade
