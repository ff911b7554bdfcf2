// The input events of the gateway and the effects that it returns, as plain
// data. ReduceGateway() in gateway.h is the only consumer of the events.
//
// A request passes through these events and effects:
//   CallerRequestArrived -> SendToServer -> AnswerProgressed -> ExchangeEnded
//                        -> ForwardAnswer, or AnswerCaller

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
#include "briarglade/gateway/cold_turn.h"
#include "briarglade/gateway/fleet_quota.h"
#include "briarglade/gateway/gateway_config.h"
#include "briarglade/gateway/harm_detector.h"
#include "briarglade/gateway/rate_limit_notice.h"
#include "briarglade/gateway/server_run.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

// This node's own identifier for a request that it serves.
using RequestHandle = StrongCount<struct RequestHandleTag>;

// A destination for requests: a server of a plain service, or the leader of an
// open group.
struct Backend
{
  HostId m_server;
  // Empty for a plain service.
  GroupId m_group;
  ServiceId m_service;
  // Empty for a plain service.
  ModelId m_model;
  // Distinguishes runs of the server.
  BootId m_run;
  Endpoint m_endpoint;
  ZoneId m_zone;
  uint32_t m_slots = 1;
  // Requests per second from all nodes that it can handle until m_coldUntil.
  double m_coldRate = 0;
  Millis m_coldUntil;
  // Connections that it accepts in total, from all nodes.
  uint32_t m_maxConnections = 100;
  // The longest time that a working group normally takes between two outputs.
  Millis m_maxPassTime;
};

// The complete list of backends that may receive new requests.
struct BackendsChanged
{
  std::vector<Backend> m_backends;
};

// A caller's request whose route and account are known.
struct CallerRequestArrived
{
  RequestHandle m_handle;
  // The caller's own identifier for the request, for the log.
  std::string m_attemptId;
  AccountId m_account;
  ServiceId m_service;
  ModelId m_model;
  // Copied from the route.
  RouteKind m_kind = RouteKind::NonIdempotent;
  bool m_isRetryable = false;
  Millis m_goal;
  uint32_t m_maxAttempts = 1;
  int32_t m_priority = 0;
  // When the caller stops waiting, and the latest time for an answer as set by
  // the operators.
  Millis m_deadline;
  Millis m_answerBy;
  // Number of prompt tokens, and the maximum number of answer tokens.
  uint32_t m_promptTokens = 0;
  uint32_t m_answerTokens = 0;
  // The parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> m_sharedParts;
  // xxhash of path, account and body: the same each time the request is sent.
  Fingerprint m_fingerprint;
};

// The role of one of a request's exchanges with servers. A request has at most
// one exchange of each role at a time.
enum class ExchangeRole
{
  // Its answer goes to the caller.
  Primary,
  // Runs beside a primary exchange that may be stuck, and takes its place if it
  // delivers first.
  Hedge
};

// A part of the answer has arrived and is about to be delivered to the caller.
struct AnswerProgressed
{
  RequestHandle m_handle;
  ExchangeRole m_role = ExchangeRole::Primary;
  // Whether another server could continue behind this part.
  bool m_isResumable = true;
};

// The exchange with a server has ended.
struct ExchangeEnded
{
  RequestHandle m_handle;
  ExchangeEnd m_end = ExchangeEnd::Whole;
  uint16_t m_status = 0;
  // Whether a part of the answer has been sent to the caller.
  bool m_answerBegan = false;
  // The pause before the next request that the server requested; zero if it
  // requested none.
  Millis m_retryAfter;
  // The load that the server reported with its answer.
  std::optional<uint32_t> m_load;
  ExchangeRole m_role = ExchangeRole::Primary;
  ExchangeTrace m_trace = {};
};

// The answer in progress reports that its server is shutting down.
struct ServerLeaving
{
  RequestHandle m_handle;
  ExchangeRole m_role = ExchangeRole::Primary;
};

// The head of a server's answer has arrived, and states how many requests per
// second the server accepts from all nodes together, or no such limit.
struct ServerRateStated
{
  RequestHandle m_handle;
  ExchangeRole m_role = ExchangeRole::Primary;
  std::optional<double> m_rate;
};

// The caller has disconnected.
struct CallerLeft
{
  RequestHandle m_handle;
};

// The load from one node at a server.
struct ServerLoad
{
  HostId m_server;
  uint32_t m_inFlight = 0;
  // Prompt tokens of the requests whose answer has not started, that is, tokens
  // that the server is processing or has still to process.
  uint32_t m_pendingPromptTokens = 0;
};

// The load from another node at each server, and the groups that it suspects
// because they are unresponsive. Replaces the last report from that node.
struct PeerLoad
{
  // Empty if the report covers all other nodes together.
  NodeId m_node;
  std::vector<ServerLoad> m_loads;
  std::vector<GroupId> m_suspects;
};

// Groups that are being ended. Their requests are hedged at other groups.
struct GroupsEnded
{
  std::vector<GroupId> m_groups;
};

// The nodes that share the fleet-wide limits, including this one, and until
// when this node may use its quotas. Without nodes, all quotas are zero.
struct RosterChanged
{
  NodeList m_nodes;
  Millis m_validUntil;
  // The number of live nodes, this one included, in the roster or not.
  size_t m_liveNodeCount = 1;
};

// A server has ended without a planned shutdown.
struct ServerLost
{
  ServerRun m_server;
  DomainId m_domain;
};

// A server that broke off exchanges still runs.
struct ServerAlive
{
  ServerRun m_server;
};

// A periodic timer event.
struct GatewayTick
{};

using GatewayEvent = std::variant<GatewayTick,
                                  BackendsChanged,
                                  PeerLoad,
                                  GroupsEnded,
                                  ServerLost,
                                  ServerAlive,
                                  CrashEvidence,
                                  TraitClearance,
                                  TraitRefusal,
                                  RosterChanged,
                                  RateLimitNotice,
                                  ColdTurnRequested,
                                  ColdTurnGranted,
                                  ColdTurnEnded,
                                  ColdTurnResponse,
                                  CallerRequestArrived,
                                  AnswerProgressed,
                                  ServerLeaving,
                                  ServerRateStated,
                                  ExchangeEnded,
                                  CallerLeft>;

// Send the request to a server. The end of the exchange is reported exactly
// once, as ExchangeEnded, unless the exchange is dropped.
struct SendToServer
{
  RequestHandle m_handle;
  ExchangeRole m_role = ExchangeRole::Primary;
  HostId m_server;
  Endpoint m_endpoint;
  AccountId m_account;
  // Whether the answer is a stream of events.
  bool m_isStream = false;
  int32_t m_urgency = 0;
  // When the caller stops waiting, and when the exchange must have ended.
  Millis m_deadline;
  Millis m_answerBy;
  // Use a connection that has carried no other request: what the server writes
  // late to an earlier one can't be told from its answer to this one.
  bool m_needsNewConnection = false;
  // Number of idle connections to the server that this node may keep.
  uint32_t m_maxIdleConnections = 0;
};

// Cancel the primary exchange. Its end is reported as Cancelled.
struct CancelExchange
{
  RequestHandle m_handle;
};

// Make the hedge the primary exchange. A primary one that still runs is
// dropped: it is cancelled, and its end is not reported.
struct PromoteHedge
{
  RequestHandle m_handle;
};

// Cancel the hedge. Its end is not reported.
struct DropHedge
{
  RequestHandle m_handle;
};

// Forward the complete answer to the caller. The request is finished.
struct ForwardAnswer
{
  RequestHandle m_handle;
};

// Answer the caller with a result code, or cut off an answer that has started.
// The request is finished.
struct AnswerCaller
{
  RequestHandle m_handle;
  ResultCode m_code = ResultCode::Internal;
  // When the caller should retry; zero to send no such hint.
  Millis m_retryAfter;
};

// Send to the other nodes what is known about requests that crash servers.
struct ReportHarm
{
  HarmNotices m_notices;
};

// Find out whether a server that broke off an exchange still runs.
struct CheckServer
{
  ServerRun m_server;
};

// Stop using a server that is shutting down, on this node and all others.
struct ReportServerLeaving
{
  ServerRun m_server;
};

// Tell the other nodes what a server states about its rate limit.
struct ReportRateLimit
{
  RateLimitNotice m_notice;
};

using GatewayEffect = std::variant<ReportHarm,
                                   CheckServer,
                                   ReportServerLeaving,
                                   ReportRateLimit,
                                   AskForColdTurn,
                                   GrantColdTurn,
                                   EndColdTurn,
                                   ReportTurnResponse,
                                   SendToServer,
                                   CancelExchange,
                                   PromoteHedge,
                                   DropHedge,
                                   ForwardAnswer,
                                   AnswerCaller,
                                   LogEvent>;

using GatewayEffects = std::vector<GatewayEffect>;

} // namespace briarglade
