// State of the peer updates that a node sends and receives. node_news.h
// describes the messages and how they are routed.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/fleet_loads.h"
#include "briarglade/entry/node_news.h"
#include "briarglade/entry/relay_selector.h"
#include "briarglade/entry/seen_bulletins.h"

namespace briarglade {

// A node that reports to this node as its relay.
struct Subscriber
{
  // When its last report was sent.
  Millis m_lastReportAt;
  Subscription m_subscription = Subscription::None;
  std::vector<GroupId> m_suspects;
  bool m_isLeaving = false;
};

// The groups that nodes of a zone suspect of being unresponsive, as reported by
// a relay, and the time at which that report was accurate.
struct KnownZone
{
  Millis m_asOf;
  std::vector<GroupId> m_suspects;
};

// The ages of the zone information that a relay of another zone reported, and
// when it sent the report.
struct ReportedZoneAges
{
  Millis m_sentAt;
  std::vector<ZoneAge> m_ages;
};

struct PeerUpdateState
{
  RelaySelector m_relays;
  FleetLoads m_loads;

  // Reports that this node sends.
  uint16_t m_reportNumber = 0;
  Millis m_reportSentAt;
  Millis m_backupReportSentAt;
  // A report must be sent at once rather than at the next period.
  bool m_hasUrgentReport = false;

  // State that is used when this node acts as a relay.
  std::map<NodeId, Subscriber> m_subscribers;
  std::map<ZoneId, KnownZone> m_zones;
  std::map<NodeId, ReportedZoneAges> m_reportedZoneAges;
  Millis m_digestsSentAt;
  Millis m_backupDigestsSentAt;
  Millis m_allNodesSentAt;
  Millis m_zoneDigestsSentAt;
  // The servers whose rate limits the last digests of each kind named last.
  HostId m_lastLimitInDigests;
  HostId m_lastLimitInZoneDigests;
  bool m_hasUrgentDigest = false;

  // Groups that other nodes suspect, as reported by the relays, and when that
  // report was sent.
  std::set<GroupId> m_suspects;
  Millis m_suspectsAsOf;
  // When the last digest of the primary relay was sent.
  Millis m_primaryDigestAt = Millis(-1'000'000);

  // Bulletins.
  SeenBulletins m_seenBulletins;
  Bulletin m_nextBulletin;
  uint64_t m_bulletinCount = 0;
  // The groups, being ended or newly opened by this node as the holder of the
  // control lease, that were last sent to the other nodes, and when.
  Millis m_controlSentAt;
  std::set<GroupId> m_controlSentGroups;
};

} // namespace briarglade
