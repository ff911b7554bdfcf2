// The times of acceptance and confirmation. docs/design/acceptance.md derives
// them from the bound of 4 s.

#pragma once

#include <cstddef>

#include "briarglade/base/millis.h"

namespace briarglade {

// How long a node may give out new work after the instant of a confirmation.
constexpr Millis kConfirmationLife = Millis(3'000);

// Between two reads of the table while it answers.
constexpr Millis kTablePollPeriod = Millis(1'000);
// Between two reads while the table doesn't answer.
constexpr Millis kTableRetryPeriod = Millis(1'500);
// Between two whole reads while the table shows older versions.
constexpr Millis kSuspectReadPeriod = Millis(5'000);
// After this time without an answer the table counts as silent.
constexpr Millis kTableSlowAfter = Millis(300);
// After this time a read is given up.
constexpr Millis kTableReadTimeout = Millis(1'000);

// Between two questions to partners while the table confirms.
constexpr Millis kRestAskPeriod = Millis(2'000);
// Between two questions to partners while the table is silent.
constexpr Millis kRoundAskPeriod = Millis(200);
// After this time without an answer a partner is passed over.
constexpr Millis kAskTimeout = Millis(600);
// How long a partner that didn't answer is passed over.
constexpr Millis kAvoidTime = Millis(5'000);
// Partners of each node.
constexpr size_t kPartnerCount = 4;

// The longest time until an operator's command is answered.
constexpr Millis kCommandTimeout = Millis(4'000);
// Between two tries of one step of a change.
constexpr Millis kChangeRetryPeriod = Millis(300);
// Between two pushes of the same facts to a node that hasn't acknowledged.
constexpr Millis kPushRetryPeriod = Millis(500);
// After this time without an answer of the table a zone is held out in memory.
constexpr Millis kHoldAfter = Millis(500);

// The shortest time between two tries to change the roster.
constexpr Millis kRosterRetryPeriod = Millis(200);
// The random part added to it.
constexpr Millis kRosterRetryJitter = Millis(600);
// How long the host list must not have shown a node before it is removed.
constexpr Millis kHostGoneAfter = Millis(30'000);
// Added for each rank among the nodes that could remove it.
constexpr Millis kRemovalStagger = Millis(4'000);
// The longest time that a leaving node waits for its roster row.
constexpr Millis kLeaveTimeout = Millis(5'000);

// Rows up to this size travel with a push; larger ones are read from the table.
constexpr size_t kMaxPushedRowBytes = 4'096;
// Changes kept in a row's history.
constexpr size_t kHistoryLength = 16;

} // namespace briarglade
