// The configuration of the gateway: routes, services and client accounts, as
// kept in the operators' store. Plain data. A node uses one version at a time.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// The kind of a route, which determines how often a request may run.
enum class RouteKind
{
  Idempotent,
  NonIdempotent,
  // A stream of events. Runs once unless the route is resumable.
  Stream
};

// A service that receives a part of a route's requests, in proportion to its
// weight.
struct WeightedService
{
  ServiceId m_service;
  uint32_t m_weight = 1;
};

// One route: which requests match it and how they are served.
struct RouteRule
{
  std::string m_name;
  std::string m_host;
  // The prefix of the path. Begins and ends with a slash.
  std::string m_prefix;
  std::vector<WeightedService> m_services;
  RouteKind m_kind = RouteKind::NonIdempotent;
  // The longest time that a caller may be kept waiting for its answer.
  Millis m_timeout = Millis(30'000);
  // Latency goal: time to the answer, or to the first event of a stream.
  Millis m_goal = Millis(1'000);
  // Latency goal of a stream: the longest pause between two events.
  Millis m_gapGoal = Millis(1'000);
  // The maximum number of servers that a request may be sent to.
  uint32_t m_maxAttempts = 1;
  // 0 is the most urgent.
  int32_t m_priority = 0;
  // Whether requests need no account key.
  bool m_isPublic = false;
  // Whether another server may continue a broken stream after its last event.
  bool m_isResumable = false;

  // Returns whether a request may run more than once.
  bool IsRetryable() const
  {
    return m_kind == RouteKind::Idempotent ||
           (m_kind == RouteKind::Stream && m_isResumable);
  }
};

// A model whose replicas are groups of hosts.
struct ReplicaModel
{
  ModelId m_id;
  // Number of hosts in a group.
  uint32_t m_size = 1;
  // The fraction of the service's requests that are expected for this model at
  // the start.
  double m_share = 1;
  // Factor that all durations of a group of this model are multiplied by.
  double m_timeFactor = 1;
  // Time to load the weights from the weight store, and from the host's own
  // staged copy.
  Millis m_loadTime;
  Millis m_warmTime;
};

// Capacity and timing of a service's model engines.
struct EngineSpec
{
  // Number of requests that a group runs concurrently.
  uint32_t m_slots = 1;
  // Number of tokens that fit into the memory of a group.
  uint64_t m_memoryTokens = 0;
  // Duration of one token step in milliseconds: the base time, and the addition
  // for each concurrent request.
  double m_stepMillis = 1;
  double m_stepMillisPerRequest = 0;
  // Prompt tokens processed per second, and the maximum per token step.
  double m_prefillTokensPerSecond = 1'000;
  uint32_t m_prefillChunkTokens = 0;
  // Token steps in one pass. The tokens are output at the end of a pass.
  uint32_t m_stepsPerPass = 1;
  // Loads from the weight store that may start per second, over all hosts.
  double m_loadsPerSecond = 1;
  // Mean number of tokens of a prompt and of an answer over all models; zero if
  // not stated.
  double m_usualPromptTokens = 0;
  double m_usualAnswerTokens = 0;
  // Number of models that a host keeps staged.
  uint32_t m_stagedModels = 1;
  // Time from the order to open a group until the group serves requests.
  Millis m_formationTime;
  std::vector<ReplicaModel> m_models;

  // Returns the duration of a pass in which every slot generates tokens and
  // every step processes the maximum number of prompt tokens, multiplied by the
  // model's factor aTimeFactor. A longer time without output is not normal.
  Millis MaxPassTime(double aTimeFactor) const
  {
    constexpr double kMillisPerSecond = 1'000;
    const double reading =
      m_prefillTokensPerSecond > 0
        ? m_prefillChunkTokens / m_prefillTokensPerSecond * kMillisPerSecond
        : 0;
    const double step =
      m_stepMillis + m_stepMillisPerRequest * m_slots + reading;
    return Millis(static_cast<int64_t>(step * m_stepsPerPass * aTimeFactor));
  }

  // Returns the model, or nullptr.
  const ReplicaModel* FindModel(const ModelId& aModel) const
  {
    for (const ReplicaModel& model : m_models) {
      if (model.m_id == aModel) {
        return &model;
      }
    }
    return nullptr;
  }
};

// One service.
struct ServiceSpec
{
  ServiceId m_id;
  std::string m_healthPath;
  // Connections that a server accepts in total, from all callers.
  uint32_t m_maxConnections = 100;
  // Requests per second that a server in cold start can handle; zero if no
  // limit is stated.
  double m_coldRequestsPerSecond = 0;
  // Duration of the cold start.
  Millis m_coldTime;
  // Set only for services of model engines.
  std::optional<EngineSpec> m_engine;
};

// One client account and its keys.
struct AccountSpec
{
  AccountId m_id;
  std::vector<std::string> m_keys;
  // Overrides the route's priority.
  std::optional<int32_t> m_priority;
};

// Limits on what a caller may send.
struct CallerLimits
{
  size_t m_headerBytes = 16 * 1024;
  size_t m_bodyBytes = 4 * 1024 * 1024;
  Millis m_headerTime = Millis(10'000);
  Millis m_idleTime = Millis(60'000);
};

// One version of the configuration.
struct GatewayConfig
{
  ConfigVersion m_version;
  std::vector<RouteRule> m_routes;
  std::map<ServiceId, ServiceSpec> m_services;
  // If false, requests carry no keys and belong to no account.
  bool m_hasAccounts = false;
  std::vector<AccountSpec> m_accounts;
  CallerLimits m_limits;
};

} // namespace briarglade
