// The unfinished requests of this node.
//
// Example:
//   const uint32_t handle = table.Add(request);
//   table.BindAttempt(handle, attempt);
//   if (const auto found = table.FindAttempt(ended.m_attempt)) { ... }

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result_code.h"
#include "briarglade/routing/fair_queue.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

// The state of a request.
enum class RequestPhase
{
  // The request waits for a slot in its account's queue.
  Queued,
  // The request waits until its next attempt may start.
  Delayed,
  // An attempt is in flight.
  Running
};

struct RequestRecord
{
  bool m_used = false;
  RequestArrived m_request;
  RequestPhase m_phase = RequestPhase::Queued;
  uint32_t m_target = 0;
  QueueKey m_queueKey;

  // The current or last attempt.
  AttemptId m_attempt;
  uint32_t m_slot = 0;
  uint32_t m_attempts = 0;
  Millis m_startedAt;
  bool m_answerBegan = false;
  // The attempt was cancelled so that the request can move to another group.
  bool m_cancelledForFailover = false;
  bool m_callerDisconnected = false;
  Millis m_notBefore;

  // Results of earlier attempts.
  std::vector<uint32_t> m_tried;
  ZoneId m_failedZone;
  uint32_t m_tokensDelivered = 0;
  bool m_mayHaveRun = false;
  // The result code to finish with if some attempt may have run.
  ResultCode m_unknownCode = ResultCode::BackendFailed;
};

class RequestTable
{
public:
  // Adds a request and returns its handle, valid until Erase().
  uint32_t Add(const RequestArrived& aRequest);
  void Erase(uint32_t aHandle);
  RequestRecord& Get(uint32_t aHandle) { return m_records[aHandle]; }

  // Returns the handle of a request or of an attempt in flight, or nothing if
  // it is unknown.
  std::optional<uint32_t> Find(const RequestId& aRequest) const;
  std::optional<uint32_t> FindAttempt(const AttemptId& aAttempt) const;
  void BindAttempt(uint32_t aHandle, const AttemptId& aAttempt);
  void UnbindAttempt(uint32_t aHandle);

  // Returns the number of unfinished requests.
  size_t Size() const { return m_byRequest.size(); }
  // Returns the handles of all unfinished requests in one phase.
  std::vector<uint32_t> InPhase(RequestPhase aPhase) const;

private:
  std::deque<RequestRecord> m_records;
  std::vector<uint32_t> m_free;
  std::unordered_map<RequestId, uint32_t> m_byRequest;
  std::unordered_map<AttemptId, uint32_t> m_byAttempt;
};

} // namespace briarglade
