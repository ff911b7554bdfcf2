// Lease and row, by conditional writes.

#include "briarglade/placement/leased_row.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace briarglade {

namespace {

using nlohmann::json;

constexpr Millis kRenewPeriod = Millis(3'000);
constexpr Millis kLeaseReadPeriod = Millis(2'000);
// Added to the takeover wait for each rank.
constexpr Millis kRankDelay = Millis(2'000);
// Time between two tries when the table doesn't answer.
constexpr Millis kRetryPeriod = Millis(500);
// An operation without an answer for this long counts as lost.
constexpr Millis kOperationTimeout = Millis(5'000);

std::string EncodeValue(const LeasedValue& aValue)
{
  return json{
    { "fencing", aValue.m_fencing.Value() },
    { "holder", aValue.m_holder.Value() },
    { "body", aValue.m_body }
  }.dump();
}

Millis LeaseReadPeriod(const LeasedRow& aRow)
{
  return kLeaseReadPeriod * (1 + static_cast<int64_t>(aRow.m_rank));
}

void ReadLease(LeasedRow& aRow,
               Millis aNow,
               UniqueIds& aIds,
               std::vector<TableOperation>& aOperations)
{
  TableRead read;
  read.m_operation = OperationId(aIds.Next());
  read.m_key = aRow.m_leaseKey;
  aRow.m_leaseOperation = read.m_operation;
  aRow.m_leaseIsWrite = false;
  aRow.m_leaseSentAt = aNow;
  aRow.m_nextLeaseRead = aNow + LeaseReadPeriod(aRow);
  aOperations.emplace_back(std::move(read));
}

void WriteLease(LeasedRow& aRow,
                Millis aNow,
                FencingToken aToken,
                UniqueIds& aIds,
                std::vector<TableOperation>& aOperations)
{
  TableWrite write;
  write.m_operation = OperationId(aIds.Next());
  write.m_key = aRow.m_leaseKey;
  write.m_expected = aRow.m_leaseVersion;
  write.m_value = EncodeValue(LeasedValue{ aToken, aRow.m_self, {} });
  aRow.m_leaseOperation = write.m_operation;
  aRow.m_leaseIsWrite = true;
  aRow.m_leaseSentAt = aNow;
  aRow.m_lastLeaseWrite = write.m_operation;
  aRow.m_lastLeaseWriteAt = aNow;
  aOperations.emplace_back(std::move(write));
}

void TickLease(LeasedRow& aRow,
               Millis aNow,
               UniqueIds& aIds,
               std::vector<TableOperation>& aOperations)
{
  if (!aRow.m_leaseOperation.IsEmpty()) {
    if (aNow - aRow.m_leaseSentAt < kOperationTimeout) {
      return;
    }
    aRow.m_leaseOperation = OperationId();
    aRow.m_nextLeaseRead = aNow;
  }
  if (aNow >= aRow.m_nextLeaseRead) {
    ReadLease(aRow, aNow, aIds, aOperations);
    return;
  }
  if (!aRow.m_leaseKnown) {
    return;
  }
  if (HoldsLease(aRow, aNow)) {
    if (aNow - aRow.m_lastLeaseWriteAt >= kRenewPeriod) {
      WriteLease(aRow, aNow, aRow.m_token, aIds, aOperations);
    }
    return;
  }
  const Millis wait =
    kLeaseTime + kLeaseMargin + kRankDelay * static_cast<int64_t>(aRow.m_rank);
  const bool isFree = aRow.m_leaseVersion == RowVersion()
                        ? aNow - aRow.m_leaseSeenAt >=
                            kRankDelay * static_cast<int64_t>(aRow.m_rank)
                        : aNow - aRow.m_leaseSeenAt >= wait;
  if (isFree && aNow - aRow.m_lastLeaseWriteAt >= kRetryPeriod) {
    WriteLease(aRow, aNow, aRow.m_token.Next(), aIds, aOperations);
  }
}

void ReadRow(LeasedRow& aRow,
             Millis aNow,
             UniqueIds& aIds,
             std::vector<TableOperation>& aOperations)
{
  TableRead read;
  read.m_operation = OperationId(aIds.Next());
  read.m_key = aRow.m_rowKey;
  aRow.m_rowOperation = read.m_operation;
  aRow.m_rowIsWrite = false;
  aRow.m_rowSentAt = aNow;
  aOperations.emplace_back(std::move(read));
}

void WriteRow(LeasedRow& aRow,
              Millis aNow,
              const std::string& aBody,
              UniqueIds& aIds,
              std::vector<TableOperation>& aOperations)
{
  TableWrite write;
  write.m_operation = OperationId(aIds.Next());
  write.m_key = aRow.m_rowKey;
  write.m_expected = aRow.m_version;
  write.m_value = EncodeValue(LeasedValue{ aRow.m_token, aRow.m_self, aBody });
  aRow.m_rowOperation = write.m_operation;
  aRow.m_rowIsWrite = true;
  aRow.m_rowSentAt = aNow;
  aOperations.emplace_back(std::move(write));
}

void AdoptLease(LeasedRow& aRow,
                Millis aNow,
                RowVersion aVersion,
                const LeasedValue& aValue)
{
  if (!aRow.m_leaseKnown || aVersion != aRow.m_leaseVersion) {
    aRow.m_leaseSeenAt = aNow;
  }
  aRow.m_leaseKnown = true;
  aRow.m_leaseVersion = aVersion;
  aRow.m_token = aValue.m_fencing;
  aRow.m_holder = aValue.m_holder;
}

// The write with the operation id has taken effect: the lease counts from when
// it was sent.
void HoldFrom(LeasedRow& aRow, Millis aSentAt, FencingToken aOldToken)
{
  if (!aRow.m_held || aOldToken != aRow.m_token) {
    aRow.m_heldSince = aSentAt;
    aRow.m_rowOperation = OperationId();
    aRow.m_rowSentAt = aSentAt - kRetryPeriod;
    aRow.m_isRead = false;
    aRow.m_isFenced = false;
  }
  aRow.m_held = true;
  aRow.m_validUntil = aSentAt + kLeaseTime;
  aRow.m_nextLeaseRead = aRow.m_validUntil;
}

void OnLeaseResult(LeasedRow& aRow, Millis aNow, const TableResult& aResult)
{
  aRow.m_leaseOperation = OperationId();
  const FencingToken oldToken = aRow.m_token;
  if (aResult.m_status == TableStatus::NotFound) {
    AdoptLease(aRow, aNow, RowVersion(), LeasedValue());
    aRow.m_held = false;
    return;
  }
  if (aResult.m_status != TableStatus::Ok || aResult.m_rows.empty()) {
    const bool isLost = aResult.m_status != TableStatus::Unreachable;
    if (aRow.m_leaseIsWrite && isLost) {
      aRow.m_nextLeaseRead = aNow;
    }
    return;
  }
  const TableRow& row = aResult.m_rows.front();
  LeasedValue value;
  if (!ParseLeasedValue(row.m_value, value)) {
    return;
  }
  AdoptLease(aRow, aNow, row.m_version, value);
  if (row.m_operation == aRow.m_lastLeaseWrite && !row.m_operation.IsEmpty()) {
    HoldFrom(aRow, aRow.m_lastLeaseWriteAt, oldToken);
  } else {
    aRow.m_held = false;
  }
}

// The write may have taken effect, or may still do so. The row is read back; if
// the write isn't there, another write makes it fail should it come later.
void LoseWrite(LeasedRow& aRow, const OperationId& aOperation)
{
  aRow.m_isRead = false;
  aRow.m_lostWrite = aOperation;
}

bool OnRowResult(LeasedRow& aRow, const TableResult& aResult)
{
  aRow.m_rowOperation = OperationId();
  if (aRow.m_rowIsWrite && aResult.m_status != TableStatus::Ok) {
    const bool isCertain = aResult.m_status == TableStatus::Unreachable;
    if (!isCertain) {
      LoseWrite(aRow, aResult.m_operation);
    }
    return false;
  }
  if (aResult.m_status == TableStatus::NotFound) {
    aRow.m_version = RowVersion();
    aRow.m_value = LeasedValue();
    aRow.m_isRead = true;
    aRow.m_isFenced = false;
    return true;
  }
  if (aResult.m_status != TableStatus::Ok || aResult.m_rows.empty()) {
    return false;
  }
  const TableRow& row = aResult.m_rows.front();
  LeasedValue value;
  if (!ParseLeasedValue(row.m_value, value)) {
    return false;
  }
  aRow.m_version = row.m_version;
  aRow.m_value = std::move(value);
  aRow.m_isRead = true;
  if (aRow.m_rowIsWrite || row.m_operation == aRow.m_lostWrite) {
    aRow.m_lostWrite = OperationId();
  }
  aRow.m_isFenced = aRow.m_value.m_fencing == aRow.m_token &&
                    aRow.m_value.m_holder == aRow.m_self &&
                    aRow.m_lostWrite.IsEmpty();
  return true;
}

} // namespace

bool ParseLeasedValue(const std::string& aText, LeasedValue& aValue)
{
  try {
    const json value = json::parse(aText);
    aValue.m_fencing = FencingToken(value.at("fencing").get<uint64_t>());
    aValue.m_holder = NodeId(value.at("holder").get<std::string>());
    aValue.m_body = value.at("body").get<std::string>();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

bool HoldsLease(const LeasedRow& aRow, Millis aNow)
{
  return aRow.m_held && aNow < aRow.m_validUntil;
}

bool MayChange(const LeasedRow& aRow, Millis aNow)
{
  return HoldsLease(aRow, aNow) && aRow.m_isRead && aRow.m_isFenced &&
         aRow.m_rowOperation.IsEmpty();
}

void TickLeasedRow(LeasedRow& aRow,
                   Millis aNow,
                   UniqueIds& aIds,
                   std::vector<TableOperation>& aOperations)
{
  TickLease(aRow, aNow, aIds, aOperations);
  if (!HoldsLease(aRow, aNow)) {
    return;
  }
  if (!aRow.m_rowOperation.IsEmpty()) {
    if (aNow - aRow.m_rowSentAt < kOperationTimeout) {
      return;
    }
    if (aRow.m_rowIsWrite) {
      LoseWrite(aRow, aRow.m_rowOperation);
    }
    aRow.m_rowOperation = OperationId();
    aRow.m_isRead = false;
  }
  if (aNow - aRow.m_rowSentAt < kRetryPeriod && !aRow.m_isRead) {
    return;
  }
  if (!aRow.m_isRead) {
    ReadRow(aRow, aNow, aIds, aOperations);
  } else if (!aRow.m_isFenced) {
    WriteRow(aRow, aNow, aRow.m_value.m_body, aIds, aOperations);
  }
}

bool OnLeasedResult(LeasedRow& aRow, Millis aNow, const TableResult& aResult)
{
  if (aResult.m_operation.IsEmpty()) {
    return false;
  }
  if (aResult.m_operation == aRow.m_leaseOperation) {
    OnLeaseResult(aRow, aNow, aResult);
    return false;
  }
  if (aResult.m_operation == aRow.m_rowOperation) {
    return OnRowResult(aRow, aResult);
  }
  return false;
}

void ProposeValue(LeasedRow& aRow,
                  Millis aNow,
                  const std::string& aBody,
                  UniqueIds& aIds,
                  std::vector<TableOperation>& aOperations)
{
  WriteRow(aRow, aNow, aBody, aIds, aOperations);
}

} // namespace briarglade
