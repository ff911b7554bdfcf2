// What can happen to requests at the gateway, and what it asks the shell to do,
// as data. ReduceGateway() in gateway.h is the only reader of the events.
//
// The life of one request:
//   CallerRequestArrived -> SendToServer -> AnswerProgressed -> ExchangeEnded
//                        -> PassAnswerOn, or AnswerCaller

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result_code.h"
#include "briarglade/gateway/fleet_share.h"
#include "briarglade/gateway/gateway_config.h"
#include "briarglade/routing/crash_notice.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

// This node's own name for a request that it serves.
using RequestHandle = StrongCount<struct RequestHandleTag>;

// One run of a server: another one under the same id knows nothing of it.
struct ServerRun
{
  HostId m_server;
  BootId m_run;
};

// A place that requests may be sent to: a server of a plain service, or the
// leader of an open group.
struct Backend
{
  HostId m_server;
  // Empty for a plain service.
  GroupId m_group;
  ServiceId m_service;
  // Empty for a plain service.
  ModelId m_model;
  // Tells two runs of the server apart.
  BootId m_run;
  Endpoint m_endpoint;
  ZoneId m_zone;
  uint32_t m_slots = 1;
  // Requests a second that it bears until m_coldUntil, over all nodes.
  double m_coldRate = 0;
  Millis m_coldUntil;
  // Connections that it accepts from all nodes together.
  uint32_t m_maxConnections = 100;
  // The longest time for which a group at work is silent while all is well.
  Millis m_longestPass;
};

// The backends that may get new requests now: all of them.
struct BackendsChanged
{
  std::vector<Backend> m_backends;
};

// A caller's request whose route and account are settled.
struct CallerRequestArrived
{
  RequestHandle m_handle;
  // The caller's own name for it, for the log.
  std::string m_attemptName;
  AccountId m_account;
  ServiceId m_service;
  ModelId m_model;
  // From the route.
  RouteKind m_kind = RouteKind::NonIdempotent;
  bool m_mayRepeat = false;
  Millis m_goal;
  uint32_t m_maxAttempts = 1;
  int32_t m_priority = 0;
  // When the caller stops waiting, and when the operators want an answer.
  Millis m_deadline;
  Millis m_answerBy;
  // Tokens to read, and the most that may be written.
  uint32_t m_promptTokens = 0;
  uint32_t m_answerTokens = 0;
  // xxhash of path, account and body: equal for each time the request comes.
  Fingerprint m_fingerprint;
};

// A part of the answer has reached the caller.
struct AnswerProgressed
{
  RequestHandle m_handle;
};

// The exchange with a server has ended.
struct ExchangeEnded
{
  RequestHandle m_handle;
  ExchangeEnd m_end = ExchangeEnd::Whole;
  uint16_t m_status = 0;
  // A part of the answer has been sent to the caller.
  bool m_answerBegan = false;
  // What the server asked for before the next request; zero: nothing.
  Millis m_retryAfter;
  // The load that the server reported with its answer.
  std::optional<uint32_t> m_load;
};

// The answer under way to a request says that its server is shutting down.
struct ServerLeaves
{
  RequestHandle m_handle;
};

struct CallerLeft
{
  RequestHandle m_handle;
};

// What one node has under way at a server.
struct ServerLoad
{
  HostId m_server;
  uint32_t m_inFlight = 0;
  // Prompt tokens of the requests whose answer hasn't begun: what the server
  // has still to read, or is reading.
  uint32_t m_unreadTokens = 0;
};

// What another node has under way at each server, and the groups that it finds
// silent, in place of what was said of it before.
struct PeerLoad
{
  // Empty: all other nodes together.
  NodeId m_node;
  std::vector<ServerLoad> m_loads;
  std::vector<GroupId> m_suspects;
};

// Groups that are being ended: what runs there goes on elsewhere.
struct GroupsEnded
{
  std::vector<GroupId> m_groups;
};

// The nodes that share the limits of the whole fleet, this one included, and
// until when this node may use its part; none: it has no part.
struct RosterChanged
{
  NodeList m_nodes;
  Millis m_validUntil;
};

// A server has ended without a plan. Its domain has so many servers.
struct ServerLost
{
  HostId m_server;
  // Tells two runs of the server apart.
  BootId m_run;
  DomainId m_domain;
  uint32_t m_serversInDomain = 1;
};

struct GatewayTick
{};

using GatewayEvent = std::variant<GatewayTick,
                                  BackendsChanged,
                                  PeerLoad,
                                  GroupsEnded,
                                  ServerLost,
                                  CrashNotice,
                                  RosterChanged,
                                  CallerRequestArrived,
                                  AnswerProgressed,
                                  ServerLeaves,
                                  ExchangeEnded,
                                  CallerLeft>;

// Send the request to a server; its end is reported as ExchangeEnded, once.
struct SendToServer
{
  RequestHandle m_handle;
  HostId m_server;
  Endpoint m_endpoint;
  AccountId m_account;
  // The answer is a stream of events.
  bool m_isStream = false;
  int32_t m_urgency = 0;
  // When the caller stops waiting, and when the exchange must have ended.
  Millis m_deadline;
  Millis m_answerBy;
  // A connection that has been idle for long might just have been closed.
  bool m_needsFreshConnection = false;
  // Idle connections to the server that this node may keep.
  uint32_t m_maxIdleConnections = 0;
};

// Give the exchange up; its end is reported as Cancelled.
struct CancelExchange
{
  RequestHandle m_handle;
};

// Give the caller the answer that has come whole; the request is done.
struct PassAnswerOn
{
  RequestHandle m_handle;
};

// Answer the caller from here, or cut the answer that has begun; the request is
// done.
struct AnswerCaller
{
  RequestHandle m_handle;
  ResultCode m_code = ResultCode::Internal;
  // When to come back; zero: nothing is said.
  Millis m_retryAfter;
};

// Tell the other nodes of a request that takes servers down.
struct TellCrash
{
  CrashNotice m_notice;
};

// Stop the use of a server that is shutting down, here and on the other nodes.
struct TellLeaving
{
  ServerRun m_server;
};

using GatewayEffect = std::variant<TellCrash,
                                   TellLeaving,
                                   SendToServer,
                                   CancelExchange,
                                   PassAnswerOn,
                                   AnswerCaller,
                                   LogEvent>;

using GatewayEffects = std::vector<GatewayEffect>;

} // namespace briarglade
