// Writing the final state of a call to its row: at once when the table works,
// and when it is back otherwise.

#pragma once

#include "briarglade/actions/internal/step.h"

namespace briarglade::internal {

// Begins to close a record whose `started` row is in the table. The answer is
// given for Done only. At the bound on kept answers, Unknown is written
// instead.
void CloseRecord(Step& aStep,
                 const RowKey& aRow,
                 ActionState aState,
                 std::shared_ptr<const StoredAnswer> aAnswer);

// Starts as many final writes as may be under way now.
void PumpClosing(Step& aStep);

// Takes the end of the write of a row, or of its answer's body.
void OnFinalWritten(Step& aStep,
                    const RowKey& aRow,
                    const TableResult& aResult);
void OnBodyWritten(Step& aStep,
                   const RowKey& aRow,
                   const ObjectResult& aResult);

} // namespace briarglade::internal
