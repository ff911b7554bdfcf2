// All effects: the actions that the decision core can request from the I/O
// shell, as plain data.

#pragma once

#include <variant>
#include <vector>

#include "briarglade/base/log_event.h"
#include "briarglade/membership/membership_effect.h"
#include "briarglade/placement/placement_event.h"
#include "briarglade/routing/request_event.h"
#include "briarglade/storage/object_store.h"
#include "briarglade/storage/table.h"

namespace briarglade {

using Effect = std::variant<TableRead,
                            TableWrite,
                            ObjectRead,
                            ObjectWrite,
                            ProbeServer,
                            SendOrder,
                            SendPeer,
                            CommandAnswer,
                            StartAttempt,
                            CancelAttempt,
                            FinishRequest,
                            ShutdownComplete,
                            LogEvent>;

using Effects = std::vector<Effect>;

} // namespace briarglade
