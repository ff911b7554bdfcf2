// Estimates the demand for each model: the number of requests in flight or
// queued, smoothed over time. It shows which models need more groups.
//
// The configuration states only each model's initial share of the work. Later,
// traffic shifts between kinds of request, and slow or lost groups increase the
// load on the model's remaining groups.
//
// Example:
//   estimator.RecordRequests(now, { { model, inFlight } });
//   input.m_demand = estimator.Demand();

#pragma once

#include <map>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

class DemandEstimator
{
public:
  // Records the number of requests in flight or queued for each model at aNow.
  // A model that is not in aRequests counts as having none.
  void RecordRequests(Millis aNow, const std::map<ModelId, double>& aRequests);
  // Returns the smoothed number of requests of each model that has ever had
  // any; empty before the first request.
  const std::map<ModelId, double>& Demand() const { return m_smoothed; }

private:
  std::map<ModelId, double> m_smoothed;
  Millis m_recordedAt;
};

} // namespace briarglade
