// A gateway in virtual time.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/base/make_roster_test.h"
#include "briarglade/gateway/gateway.h"

namespace briarglade {

inline constexpr char kService[] = "desk";

inline Backend MakeServer(const std::string& aName, uint32_t aSlots = 4)
{
  Backend backend;
  backend.m_server = HostId(aName);
  backend.m_service = ServiceId(kService);
  backend.m_slots = aSlots;
  return backend;
}

inline Backend MakeGroupLeader(const std::string& aName)
{
  Backend backend = MakeServer(aName);
  backend.m_group = GroupId("group-" + aName);
  backend.m_model = ModelId("m");
  return backend;
}

// The first node of each roster.
inline const NodeId kSelf("n0");

inline GatewaySettings MakeSettings(const NodeId& aSelf)
{
  GatewaySettings settings;
  settings.m_node = aSelf;
  return settings;
}

// A gateway and the effects that it has returned, for the tests of this folder.
struct World
{
  explicit World(const NodeId& aSelf = kSelf)
    : m_state(MakeSettings(aSelf))
  {
    SetNodes(1);
  }

  void SetNodes(uint32_t aNodes)
  {
    Do(RosterChanged{
      std::make_shared<const std::vector<NodeId>>(MakeRoster(aNodes)),
      Millis(1'000'000'000) });
  }

  GatewayState m_state;
  Millis m_now{ 10'000 };
  // The route's timeout.
  Millis m_timeout{ 800 };
  uint64_t m_handles = 0;
  std::map<RequestHandle, std::vector<SendToServer>> m_sent;
  std::map<RequestHandle, AnswerCaller> m_answered;
  std::map<RequestHandle, bool> m_passedOn;
  std::vector<RequestHandle> m_cancelled;
  std::vector<RequestHandle> m_promoted;
  std::vector<RequestHandle> m_dropped;
  std::vector<LogEvent> m_log;
  std::vector<ServerRun> m_leaving;

  void Do(const GatewayEvent& aEvent)
  {
    for (const GatewayEffect& effect : ReduceGateway(m_state, m_now, aEvent)) {
      if (const auto* send = std::get_if<SendToServer>(&effect)) {
        m_sent[send->m_handle].push_back(*send);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        m_answered[answer->m_handle] = *answer;
      } else if (const auto* pass = std::get_if<ForwardAnswer>(&effect)) {
        m_passedOn[pass->m_handle] = true;
      } else if (const auto* cancel = std::get_if<CancelExchange>(&effect)) {
        m_cancelled.push_back(cancel->m_handle);
      } else if (const auto* promote = std::get_if<PromoteHedge>(&effect)) {
        m_promoted.push_back(promote->m_handle);
      } else if (const auto* drop = std::get_if<DropHedge>(&effect)) {
        m_dropped.push_back(drop->m_handle);
      } else if (const auto* tell = std::get_if<ReportServerLeaving>(&effect)) {
        m_leaving.push_back(tell->m_server);
      } else if (const auto* event = std::get_if<LogEvent>(&effect)) {
        m_log.push_back(*event);
      }
    }
  }
  void Wait(Millis aTime)
  {
    for (Millis passed; passed < aTime; passed += Millis(50)) {
      m_now += Millis(50);
      Do(GatewayTick{});
    }
  }
  RequestHandle Arrive(RouteKind aKind, uint32_t aAttempts = 2)
  {
    CallerRequestArrived request;
    request.m_handle = RequestHandle(++m_handles);
    request.m_attemptId = "attempt-" + std::to_string(m_handles);
    request.m_service = ServiceId(kService);
    request.m_kind = aKind;
    request.m_isRetryable = aKind != RouteKind::NonIdempotent;
    request.m_model = aKind == RouteKind::Stream ? ModelId("m") : ModelId();
    request.m_maxAttempts = aAttempts;
    request.m_deadline = m_now + Millis(1'500);
    request.m_answerBy = m_now + m_timeout;
    Do(request);
    return request.m_handle;
  }
  void End(RequestHandle aHandle,
           ExchangeEnd aEnd,
           uint16_t aStatus = 0,
           ExchangeRole aRole = ExchangeRole::Primary)
  {
    ExchangeEnded ended;
    ended.m_role = aRole;
    ended.m_handle = aHandle;
    ended.m_end = aEnd;
    ended.m_status = aStatus;
    Do(ended);
  }
  // Lets the server turn the request away and ask for a pause.
  void RefuseFor(RequestHandle aHandle, Millis aPause)
  {
    ExchangeEnded ended;
    ended.m_handle = aHandle;
    ended.m_end = ExchangeEnd::RefusedByServer;
    ended.m_status = 503;
    ended.m_retryAfter = aPause;
    Do(ended);
  }
  // Ends the exchanges that the gateway has cancelled, as the relay does.
  void EndCancelled()
  {
    for (const RequestHandle handle : std::exchange(m_cancelled, {})) {
      End(handle, ExchangeEnd::Cancelled);
    }
  }
  // Returns this node's requests in flight at a server.
  uint32_t InFlight(const std::string& aServer) const
  {
    uint32_t inFlight = 0;
    for (const ServerLoad& load : m_state.m_backendTable.OwnLoad()) {
      inFlight += load.m_server == HostId(aServer) ? load.m_inFlight : 0;
    }
    return inFlight;
  }
  size_t Sends(RequestHandle aHandle) { return m_sent[aHandle].size(); }
};

} // namespace briarglade
