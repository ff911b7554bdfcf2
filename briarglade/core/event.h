// Everything that can happen to a node, as data. The shell makes these from
// sockets and timers; Reduce() in reduce.h is the only reader.

#pragma once

#include <variant>

#include "briarglade/base/ids.h"
#include "briarglade/membership/operator_command.h"
#include "briarglade/placement/server_report.h"
#include "briarglade/platform/table.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

// Time has passed; sent every 50 ms.
struct Tick
{};

// A backend server didn't answer a probe.
struct ServerSilent
{
  HostId m_host;
};

// The platform's host list was read, or could not be.
struct HostListRead
{
  bool m_ok = false;
  HostList m_list;
};

using EventBody = std::variant<Tick,
                               TableResult,
                               ServerReport,
                               ServerSilent,
                               HostListRead,
                               ApplyCommand,
                               ZoneCommand,
                               RequestArrived,
                               AttemptAnswerBegan,
                               AttemptEnded,
                               CallerGone>;

// An event and when it happened, on the node's clock.
struct Event
{
  Millis m_at;
  EventBody m_body;
};

} // namespace briarglade
