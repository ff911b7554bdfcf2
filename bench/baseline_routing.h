// Simple routing policies over the same events as ReduceRouting(), to compare
// with: round robin, random, or the least reported load, each with up to three
// blind retries and no limits.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/fake_fleet.h"

namespace briarglade::bench {

enum class BaselinePolicy
{
  RoundRobin,
  Random,
  LeastReported
};

class BaselineRouting
{
public:
  BaselineRouting(BaselinePolicy aPolicy, uint64_t aSeed)
    : m_policy(aPolicy)
    , m_random(aSeed)
  {
  }

  RoutingEffects Reduce(const RoutingEvent& aEvent)
  {
    RoutingEffects effects;
    std::visit(
      Overloaded{ [&](const RoutesChanged& aChange) {
                   for (const Route& route : aChange.m_changed) {
                     m_routes[route.m_group] = route;
                   }
                 },
                  [&](const RoutingZones& aZones) { m_zones = aZones.m_zones; },
                  [&](const RequestArrived& aRequest) {
                    m_running[aRequest.m_request].m_request = aRequest;
                    Start(m_running[aRequest.m_request], effects);
                  },
                  [&](const AttemptEnded& aEnded) { OnEnded(aEnded, effects); },
                  [](const auto&) {} },
      aEvent);
    return effects;
  }

private:
  static constexpr uint32_t kRetries = 3;
  struct Running
  {
    RequestArrived m_request;
    uint32_t m_attempts = 0;
  };

  std::vector<const Route*> Candidates(const RouteTarget& aTarget) const
  {
    std::vector<const Route*> candidates;
    for (const auto& [group, route] : m_routes) {
      const auto zone = m_zones.find(route.m_zone);
      const bool isOut =
        zone != m_zones.end() && zone->second == ZoneState::Out;
      if (route.m_target == aTarget && route.m_complete && !isOut) {
        candidates.push_back(&route);
      }
    }
    return candidates;
  }

  const Route& Choose(const std::vector<const Route*>& aCandidates)
  {
    switch (m_policy) {
      case BaselinePolicy::RoundRobin:
        return *aCandidates[m_next++ % aCandidates.size()];
      case BaselinePolicy::Random:
        return *aCandidates[m_random() % aCandidates.size()];
      case BaselinePolicy::LeastReported:
        break;
    }
    const auto isLess = [](const Route* aA, const Route* aB) {
      return aA->m_load < aB->m_load;
    };
    return **std::min_element(aCandidates.begin(), aCandidates.end(), isLess);
  }

  void Start(Running& aRunning, RoutingEffects& aEffects)
  {
    const std::vector<const Route*> candidates =
      Candidates(aRunning.m_request.m_target);
    if (candidates.empty()) {
      Finish(aRunning, ResultCode::NoCapacity, aEffects);
      return;
    }
    const Route& route = Choose(candidates);
    StartAttempt start;
    start.m_request = aRunning.m_request.m_request;
    start.m_attempt = AttemptId(start.m_request.Value() + "/" +
                                std::to_string(++aRunning.m_attempts));
    start.m_group = route.m_group;
    start.m_deadline = aRunning.m_request.m_deadline;
    m_attempts[start.m_attempt] = start.m_request;
    aEffects.emplace_back(start);
  }

  void Finish(const Running& aRunning,
              ResultCode aCode,
              RoutingEffects& aEffects)
  {
    FinishRequest finish;
    finish.m_request = aRunning.m_request.m_request;
    finish.m_code = aCode;
    aEffects.emplace_back(finish);
    m_running.erase(finish.m_request);
  }

  void OnEnded(const AttemptEnded& aEnded, RoutingEffects& aEffects)
  {
    const auto attempt = m_attempts.find(aEnded.m_attempt);
    Running& running = m_running.at(attempt->second);
    m_attempts.erase(attempt);
    if (aEnded.m_end == ExchangeEnd::Whole) {
      Finish(running, ResultCode::Ok, aEffects);
    } else if (aEnded.m_tokensDelivered > 0) {
      Finish(running, ResultCode::StreamCut, aEffects);
    } else if (aEnded.m_end == ExchangeEnd::Timeout ||
               running.m_attempts > kRetries) {
      Finish(running, ResultCode::BackendFailed, aEffects);
    } else {
      Start(running, aEffects);
    }
  }

  BaselinePolicy m_policy;
  std::minstd_rand m_random;
  size_t m_next = 0;
  std::map<GroupId, Route> m_routes;
  std::map<ZoneId, ZoneState> m_zones;
  std::unordered_map<RequestId, Running> m_running;
  std::unordered_map<AttemptId, RequestId> m_attempts;
};

// Returns a maker of nodes that run the policy.
inline MakeRouting MakeBaseline(BaselinePolicy aPolicy)
{
  return [aPolicy](const NodeId& aNode, const ZoneId&) -> NodeRouting {
    const uint64_t seed = std::hash<std::string>()(aNode.Value());
    auto routing = std::make_shared<BaselineRouting>(aPolicy, seed);
    return [routing](Millis, const RoutingEvent& aEvent) {
      return routing->Reduce(aEvent);
    };
  };
}

} // namespace briarglade::bench
