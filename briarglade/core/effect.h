// Everything that the decision core can ask the shell to do, as data.

#pragma once

#include <variant>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/log_event.h"
#include "briarglade/membership/operator_command.h"
#include "briarglade/placement/server_report.h"
#include "briarglade/platform/table.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

// Ask a backend server for its state.
struct ProbeServer
{
  HostId m_host;
  Endpoint m_endpoint;
};

// Send an order to a backend server.
struct SendOrder
{
  ServerOrder m_order;
  Endpoint m_endpoint;
};

using Effect = std::variant<TableRead,
                            TableWrite,
                            ProbeServer,
                            SendOrder,
                            CommandAnswer,
                            StartAttempt,
                            CancelAttempt,
                            FinishRequest,
                            LogEvent>;

using Effects = std::vector<Effect>;

} // namespace briarglade
