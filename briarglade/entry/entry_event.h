// What can happen to an entry node, and what it asks the shell to do, as data.
// ReduceEntry() in reduce_entry.h is the only reader of the events.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
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

// A caller's request has come whole.
struct RequestReceived
{
  RequestHandle m_handle;
  std::string m_path;
  CallerRequest m_request;
  // xxhash of path, key and body.
  Fingerprint m_fingerprint;
};

// A probe of a server has ended; an error: it gave no report.
struct ServerProbed
{
  HostId m_host;
  Result<ServerRecord> m_record;
};

struct NewsReceived
{
  NodeNews m_news;
};

// The process was asked to stop.
struct StopRequested
{};

using EntryEvent = std::variant<EntryTick,
                                FeedAnswered,
                                OwnRowWritten,
                                OrderAnswered,
                                ServerProbed,
                                NewsReceived,
                                RequestReceived,
                                AnswerProgressed,
                                ServerLeaves,
                                ExchangeEnded,
                                CallerLeft,
                                StopRequested>;

// Ask a server for its report; the end is a ServerProbed.
struct ProbeServerNow
{
  ServerRecord m_server;
};

// Tell other nodes, the same to all of them; what came of it doesn't matter.
struct SendNodeNews
{
  std::vector<Endpoint> m_receivers;
  std::shared_ptr<const NodeNews> m_news;
};

// New limits for callers' requests are in force.
struct CallerLimitsChanged
{
  CallerLimits m_limits;
};

// Let every connection of a caller end with its next answer.
struct DrainCallers
{};

// End the process.
struct ExitProcess
{};

using EntryEffect = std::variant<WatchFeed,
                                 ReadFeed,
                                 WriteOwnRow,
                                 GroupOrder,
                                 ProbeServerNow,
                                 SendNodeNews,
                                 SendToServer,
                                 CancelExchange,
                                 PassAnswerOn,
                                 AnswerCaller,
                                 CallerLimitsChanged,
                                 DrainCallers,
                                 ExitProcess,
                                 LogEvent>;

using EntryEffects = std::vector<EntryEffect>;

} // namespace briarglade
