// The configuration of the gateway: routes, services and client accounts, as
// the operators' store holds them. Pure data; one version is in force on a node
// at a time.

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

// How often a request of a route may run.
enum class RouteKind
{
  Idempotent,
  NonIdempotent,
  // A stream of events; runs once unless the route is resumable.
  Stream
};

// A service that gets a part of a route's requests.
struct WeightedService
{
  ServiceId m_service;
  uint32_t m_weight = 1;
};

// One route: which requests it takes, and how they are served.
struct RouteRule
{
  std::string m_name;
  std::string m_host;
  // Begins and ends with a slash.
  std::string m_prefix;
  std::vector<WeightedService> m_services;
  RouteKind m_kind = RouteKind::NonIdempotent;
  // The longest time for which a request may be kept waiting.
  Millis m_timeout = Millis(30'000);
  // The time within which an answer, or its first event, is on time.
  Millis m_goal = Millis(1'000);
  // The longest pause between events for which a stream is on time.
  Millis m_gapGoal = Millis(1'000);
  // Servers to which one request may be sent.
  uint32_t m_maxAttempts = 1;
  // 0 is the most urgent.
  int32_t m_priority = 0;
  // Needs no account key.
  bool m_isPublic = false;
  // A broken stream may go on at another server behind its last event.
  bool m_isResumable = false;

  // Whether a request may run more than once.
  bool MayRepeat() const
  {
    return m_kind == RouteKind::Idempotent ||
           (m_kind == RouteKind::Stream && m_isResumable);
  }
};

// A model whose replicas are groups of hosts.
struct ReplicaModel
{
  ModelId m_id;
  // Hosts in one group.
  uint32_t m_size = 1;
  // The part of the service's work that asks for this model at the start.
  double m_share = 1;
  // Factor on all of a group's times.
  double m_pace = 1;
  // Time to load the weights from the weight store, and from the host itself.
  Millis m_loadTime;
  Millis m_warmTime;
};

// What a service's model engines can do.
struct EngineSpec
{
  // Requests that one group runs at once.
  uint32_t m_slots = 1;
  // Tokens that one group's memory holds.
  uint64_t m_memoryTokens = 0;
  // Time of one token step: alone, and for each request beside.
  double m_stepMillis = 1;
  double m_stepMillisPerRequest = 0;
  // Prompt tokens read in a second, and the most that are read in one step.
  double m_readRate = 1'000;
  uint32_t m_chunkTokens = 0;
  // Token steps of one pass, at whose end the tokens come out.
  uint32_t m_stepsPerPass = 1;
  // Loads from the weight store that may begin in a second, over all hosts.
  double m_loadsPerSecond = 1;
  // Models that a host keeps staged.
  uint32_t m_stagedModels = 1;
  // Time from the order to open until a group serves.
  Millis m_formationTime;
  std::vector<ReplicaModel> m_models;

  // Returns the time of a pass in which every slot writes and every step reads
  // all that it may, for a model of that pace: no longer silence is normal.
  Millis LongestPass(double aPace) const
  {
    constexpr double kMillisPerSecond = 1'000;
    const double reading =
      m_readRate > 0 ? m_chunkTokens / m_readRate * kMillisPerSecond : 0;
    const double step =
      m_stepMillis + m_stepMillisPerRequest * m_slots + reading;
    return Millis(static_cast<int64_t>(step * m_stepsPerPass * aPace));
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

struct ServiceSpec
{
  ServiceId m_id;
  std::string m_healthPath;
  // Connections that one server accepts from all callers together.
  uint32_t m_maxConnections = 100;
  // Requests a second that a cold server bears; zero: no limit is stated.
  double m_coldRequestsPerSecond = 0;
  // How long a server stays cold.
  Millis m_coldTime;
  // Set for services of model engines.
  std::optional<EngineSpec> m_engine;
};

struct AccountSpec
{
  AccountId m_id;
  std::vector<std::string> m_keys;
  // Goes before the route's priority.
  std::optional<int32_t> m_priority;
};

// Bounds on what a caller may send.
struct CallerLimits
{
  size_t m_headerBytes = 16 * 1024;
  size_t m_bodyBytes = 4 * 1024 * 1024;
  Millis m_headerTime = Millis(10'000);
  Millis m_idleTime = Millis(60'000);
};

struct GatewayConfig
{
  ConfigVersion m_version;
  std::vector<RouteRule> m_routes;
  std::map<ServiceId, ServiceSpec> m_services;
  // False: requests carry no keys and belong to no account.
  bool m_hasAccounts = false;
  std::vector<AccountSpec> m_accounts;
  CallerLimits m_limits;
};

} // namespace briarglade
