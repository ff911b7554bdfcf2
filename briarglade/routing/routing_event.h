// The events and effects of request routing. The top-level reducer translates
// reports of the other components into these events; only ReduceRouting() in
// reduce_routing.h processes them.

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

// A periodic event, sent every 50 ms.
struct RoutingTick
{};

// New and changed routes, each in full, and groups that no longer exist. A
// route that merely lost a member is changed, not removed.
struct RoutesChanged
{
  std::vector<Route> m_changed;
  std::vector<GroupId> m_removed;
};

// The client accounts of the current configuration.
struct RoutingAccounts
{
  std::map<AccountId, AccountConfig> m_accounts;
};

// The state of every availability zone. Zones that are not listed are in
// service.
struct RoutingZones
{
  std::map<ZoneId, ZoneState> m_zones;
};

// The current roster and its version.
struct RoutingRoster
{
  uint64_t m_version = 0;
  std::vector<NodeId> m_nodes;
};

// Whether this node's configuration is confirmed, so that it may start
// requests.
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
                                  CallerDisconnected>;

// Notifies the other nodes about a request that crashes backend servers.
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
