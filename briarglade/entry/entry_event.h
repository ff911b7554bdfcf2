// The events of an entry node and the effects that it requests from its shell,
// as data. Only ReduceEntry() in reduce_entry.h handles the events.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/base/message_echo.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result.h"
#include "briarglade/entry/node_news.h"
#include "briarglade/entry/store_feed.h"
#include "briarglade/entry/wire_codec.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/grouping/group_order.h"
#include "briarglade/grouping/server_record.h"

namespace briarglade {

// Time has passed; sent every 50 ms.
struct EntryTick
{};

// A caller's request has been received completely.
struct RequestReceived
{
  RequestHandle m_handle;
  std::string m_path;
  CallerRequest m_request;
  // The caller's address, for the log.
  std::string m_address;
  // The xxhash of host, request target, account key and body.
  Fingerprint m_fingerprint;
};

// A probe of a server has ended. An error means that the server returned no
// report. BackendFailed: it refuses connections, closes them, or another server
// is at its address; DeadlineExceeded: nothing came in time.
struct ServerProbed
{
  HostId m_host;
  // The process that the probe was for. What answers at its address may be
  // another one; a report says when that one has started, but not which server
  // it is.
  ServerProcess m_asked;
  Result<ServerRecord> m_record;
  // When the probe was sent, by this node's clock.
  Millis m_requestedAt;
};

// A message from another node has been received.
struct PeerUpdateReceived
{
  NodeNews m_update;
  // What it returns of an earlier message of this node.
  std::optional<MessageEcho> m_echo = std::nullopt;
};

// The process has noted that it is asked to stop.
struct StopRequested
{
  // The earliest moment at which it may have been asked, by this node's clock.
  // A process that has no processor, or is busy, notes it late.
  Millis m_notBefore;
};

using EntryEvent = std::variant<EntryTick,
                                FeedAnswered,
                                OwnRowWritten,
                                OrderAnswered,
                                ServerProbed,
                                PeerUpdateReceived,
                                RequestReceived,
                                AnswerProgressed,
                                ServerLeaving,
                                ServerRateStated,
                                ExchangeEnded,
                                CallerLeft,
                                StopRequested>;

// Requests a report from a server. The result arrives as a ServerProbed event.
struct ProbeServerNow
{
  ServerRecord m_server;
};

// A receiver of a message, and what that returns of an earlier one from there.
struct UpdateReceiver
{
  Endpoint m_endpoint;
  std::optional<MessageEcho> m_echo;
};

// Sends the same message to several other nodes. Failures are ignored.
struct SendPeerUpdate
{
  std::vector<UpdateReceiver> m_receivers;
  std::shared_ptr<const NodeNews> m_update;
};

// Puts new limits for callers' requests into effect.
struct CallerLimitsChanged
{
  CallerLimits m_limits;
};

// Closes each caller's connection after its next answer.
struct DrainCallers
{};

// Ends the process.
struct ExitProcess
{};

using EntryEffect = std::variant<WatchFeed,
                                 ReadFeed,
                                 WriteOwnRow,
                                 GroupOrder,
                                 ProbeServerNow,
                                 SendPeerUpdate,
                                 SendToServer,
                                 CancelExchange,
                                 PromoteHedge,
                                 DropHedge,
                                 ForwardAnswer,
                                 AnswerCaller,
                                 CallerLimitsChanged,
                                 DrainCallers,
                                 ExitProcess,
                                 LogEvent>;

using EntryEffects = std::vector<EntryEffect>;

} // namespace briarglade
