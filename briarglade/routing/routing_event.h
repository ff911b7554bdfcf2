// The events and effects of request routing. The top reducer translates what
// the other components tell into these; ReduceRouting() in reduce_routing.h is
// the only reader.

#pragma once

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/routing/crash_notice.h"
#include "briarglade/routing/request_event.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

// Time has passed; sent every 50 ms.
struct RoutingTick
{};

// Routes that are new or differ from before, whole, and groups that no longer
// exist. A route that merely lost a member is changed, not removed.
struct RoutesChanged
{
  std::vector<Route> m_changed;
  std::vector<GroupId> m_removed;
};

// The client accounts of the configuration that is now in force.
struct RoutingAccounts
{
  std::map<AccountId, AccountConfig> m_accounts;
};

// The state of every availability zone; one that isn't named is in.
struct RoutingZones
{
  std::map<ZoneId, ZoneState> m_zones;
};

// The roster that is now in force, with its version.
struct RoutingRoster
{
  uint64_t m_version = 0;
  std::vector<NodeId> m_nodes;
};

// Whether this node's configuration is confirmed, so that it may give out work.
struct RoutingConfirmation
{
  bool m_confirmed = false;
};

using RoutingEvent = std::variant<RoutingTick,
                                  RoutesChanged,
                                  RoutingAccounts,
                                  RoutingZones,
                                  RoutingRoster,
                                  RoutingConfirmation,
                                  CrashNotice,
                                  RequestArrived,
                                  AttemptAnswerBegan,
                                  AttemptEnded,
                                  CallerGone>;

// Tell the other nodes of a request that takes backend servers down.
struct SendCrashNotice
{
  CrashNotice m_notice;
};

using RoutingEffect = std::variant<StartAttempt,
                                   CancelAttempt,
                                   FinishRequest,
                                   SendCrashNotice,
                                   LogEvent>;

using RoutingEffects = std::vector<RoutingEffect>;

} // namespace briarglade
