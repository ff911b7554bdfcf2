// Everything that the decision core can ask the shell to do, as data.

#pragma once

#include <variant>
#include <vector>

#include "briarglade/base/log_event.h"
#include "briarglade/membership/operator_command.h"
#include "briarglade/placement/placement_event.h"
#include "briarglade/platform/table.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

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
