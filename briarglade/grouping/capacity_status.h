// What the lease holder knows of the allocation between models, for metrics.

#pragma once

#include <cstdint>
#include <vector>

#include "briarglade/base/ids.h"

namespace briarglade {

struct ModelCapacity
{
  ServiceId m_service;
  ModelId m_model;
  // The demand in groups; zero if it is not known.
  double m_demand = 0;
  uint32_t m_servingGroups = 0;
  // The groups of the target layout; zero if the demand is not known.
  uint32_t m_targetGroups = 0;
};

struct CapacityStatus
{
  // One entry for each model of the services with several; empty on a node that
  // does not hold the lease.
  std::vector<ModelCapacity> m_models;
  // Since the process started. A move ends groups of one model in a domain; it
  // is completed once a group of the other model has opened there, and
  // abandoned if none is being formed any more. A move whose holder loses the
  // lease counts as neither.
  uint64_t m_movesBegun = 0;
  uint64_t m_movesCompleted = 0;
  uint64_t m_movesAbandoned = 0;
  uint64_t m_stageOrders = 0;
};

} // namespace briarglade
