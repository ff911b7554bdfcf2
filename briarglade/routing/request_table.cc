// Table of the requests on this node and their current attempts.

#include "briarglade/routing/request_table.h"

namespace briarglade {

namespace {

template<typename Id>
std::optional<uint32_t> Lookup(const std::unordered_map<Id, uint32_t>& aMap,
                               const Id& aId)
{
  const auto found = aMap.find(aId);
  return found == aMap.end() ? std::nullopt
                             : std::optional<uint32_t>(found->second);
}

} // namespace

uint32_t RequestTable::Add(const RequestArrived& aRequest)
{
  uint32_t handle = 0;
  if (m_free.empty()) {
    handle = static_cast<uint32_t>(m_records.size());
    m_records.emplace_back();
  } else {
    handle = m_free.back();
    m_free.pop_back();
  }
  RequestRecord& record = m_records[handle];
  record.m_used = true;
  record.m_request = aRequest;
  m_byRequest.emplace(aRequest.m_request, handle);
  return handle;
}

void RequestTable::Erase(uint32_t aHandle)
{
  RequestRecord& record = m_records[aHandle];
  m_byRequest.erase(record.m_request.m_request);
  record = RequestRecord();
  m_free.push_back(aHandle);
}

std::optional<uint32_t> RequestTable::Find(const RequestId& aRequest) const
{
  return Lookup(m_byRequest, aRequest);
}

std::optional<uint32_t> RequestTable::FindAttempt(
  const AttemptId& aAttempt) const
{
  return Lookup(m_byAttempt, aAttempt);
}

void RequestTable::BindAttempt(uint32_t aHandle, const AttemptId& aAttempt)
{
  m_records[aHandle].m_attempt = aAttempt;
  m_byAttempt.emplace(aAttempt, aHandle);
}

void RequestTable::UnbindAttempt(uint32_t aHandle)
{
  m_byAttempt.erase(m_records[aHandle].m_attempt);
}

std::vector<uint32_t> RequestTable::InPhase(RequestPhase aPhase) const
{
  std::vector<uint32_t> handles;
  for (uint32_t handle = 0; handle < m_records.size(); ++handle) {
    if (m_records[handle].m_used && m_records[handle].m_phase == aPhase) {
      handles.push_back(handle);
    }
  }
  return handles;
}

} // namespace briarglade
