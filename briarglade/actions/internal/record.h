// Recording a call in the table before it runs: the conditional write of its
// `started` row, and settling it when its answer was lost.

#pragma once

#include "briarglade/actions/internal/step.h"

namespace briarglade::internal {

// Begins to record a call. The row must have the expected version (zero: must
// not exist), and this node must not have a record of it.
void BeginRecord(Step& aStep, const RequestId& aRequest, RowVersion aExpected);

// Makes a call the one that a record without an owner is for.
void AdoptRecord(Step& aStep, const RowKey& aRow, const RequestId& aRequest);

// Takes the end of the write, or of the read that settles it.
void OnRecordWritten(Step& aStep,
                     const RowKey& aRow,
                     const TableResult& aResult);
void OnRecordRead(Step& aStep, const RowKey& aRow, const TableResult& aResult);

// Looks again at a record in doubt.
void OnRecordTimer(Step& aStep, const RowKey& aRow);

// The owner has waited for too long: it and the waiters are refused. What the
// write comes to is settled without them.
void RefuseRecord(Step& aStep, const RowKey& aRow);

// The owner's caller has left, and was told so.
void LeaveRecord(Step& aStep, const RowKey& aRow);

} // namespace briarglade::internal
