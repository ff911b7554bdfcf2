// What a node keeps of the news that it sends and gets; see node_news.h for the
// ways that they take.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/fleet_loads.h"
#include "briarglade/entry/node_news.h"
#include "briarglade/entry/relay_choice.h"
#include "briarglade/entry/seen_bulletins.h"

namespace briarglade {

// A node that reports here.
struct Subscriber
{
  Millis m_lastReportAt;
  Subscription m_subscription = Subscription::None;
  std::vector<GroupId> m_suspects;
  bool m_isLeaving = false;
};

// The groups that nodes of a zone find silent, by the word of a relay, and as
// of when its word is.
struct KnownZone
{
  Millis m_asOf;
  std::vector<GroupId> m_suspects;
};

// What a relay of another zone said that it knows, and when.
struct ReportedZoneAges
{
  Millis m_receivedAt;
  std::vector<ZoneAge> m_ages;
};

struct NewsState
{
  RelayChoice m_relays;
  FleetLoads m_loads;

  // Reports of this node.
  uint16_t m_reportNumber = 0;
  Millis m_reportSentAt;
  Millis m_backupReportSentAt;
  // Reports say something that can't wait.
  bool m_hasUrgentReport = false;

  // As a relay.
  std::map<NodeId, Subscriber> m_subscribers;
  std::map<ZoneId, KnownZone> m_zones;
  std::map<NodeId, ReportedZoneAges> m_reportedZoneAges;
  Millis m_digestsSentAt;
  Millis m_backupDigestsSentAt;
  Millis m_allNodesSentAt;
  Millis m_zoneDigestsSentAt;
  bool m_hasUrgentDigest = false;

  // Groups that other nodes find silent, by the relays' word, and when.
  std::set<GroupId> m_suspects;
  Millis m_suspectsAt;
  // When a digest of the first relay last came.
  Millis m_primaryDigestAt;

  // Bulletins.
  SeenBulletins m_seenBulletins;
  Bulletin m_next;
  uint64_t m_bulletinCount = 0;
  // What was last told of the groups that this node, as the holder of the
  // control lease, ends and has opened.
  Millis m_controlSentAt;
  std::set<GroupId> m_controlSentGroups;
};

} // namespace briarglade
