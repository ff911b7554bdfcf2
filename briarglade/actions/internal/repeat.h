// Calls whose key was used before: they get the stored answer, or wait for it,
// and never run a second time.

#pragma once

#include "briarglade/actions/internal/step.h"

namespace briarglade::internal {

// Joins a call to the record that this node has of its key.
void JoinRecord(Step& aStep, const RequestId& aRequest);

// Judges a call by the row that stands under its key.
void EvaluateRow(Step& aStep,
                 const RequestId& aRequest,
                 const TableRow& aFound);

// Takes the end of a call's reads.
void OnWatchRead(Step& aStep,
                 const RequestId& aRequest,
                 const TableResult& aResult);
void OnBodyRead(Step& aStep,
                const RequestId& aRequest,
                const ObjectResult& aResult);

// The time to read again has come, or the deadline.
void OnRepeatTimer(Step& aStep, const RequestId& aRequest);

} // namespace briarglade::internal
