// All events that a node can receive, as plain data. The I/O shell creates them
// from sockets and timers; only Reduce() in reduce.h processes them.

#pragma once

#include <variant>

#include "briarglade/actions/actions_event.h"
#include "briarglade/base/millis.h"
#include "briarglade/membership/membership_event.h"
#include "briarglade/placement/placement_event.h"
#include "briarglade/routing/request_event.h"
#include "briarglade/storage/object_store.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// A periodic timer event, sent every 50 ms.
struct Tick
{};

// A graceful shutdown of this node has started. Callers should no longer be
// sent to it.
struct LeavingBegan
{};

using EventBody = std::variant<Tick,
                               TableResult,
                               ObjectResult,
                               ServerReport,
                               ProbeFailed,
                               HostsListed,
                               PeerMessageReceived,
                               PeerUnreachable,
                               ApplyCommand,
                               ZoneCommand,
                               RequestArrived,
                               AttemptAnswerBegan,
                               AttemptEnded,
                               CallerDisconnected,
                               LeavingBegan,
                               ShutdownRequested>;

// An event and the time at which it happened, on the node's clock.
struct Event
{
  Millis m_at;
  EventBody m_body;
};

} // namespace briarglade
