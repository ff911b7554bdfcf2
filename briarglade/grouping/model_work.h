// The work that callers request of a model, per second.

#pragma once

#include <map>

#include "briarglade/base/ids.h"

namespace briarglade {

struct ModelWork
{
  double m_requests = 0;
  double m_promptTokens = 0;
  double m_answerTokens = 0;

  ModelWork& operator+=(const ModelWork& aOther)
  {
    m_requests += aOther.m_requests;
    m_promptTokens += aOther.m_promptTokens;
    m_answerTokens += aOther.m_answerTokens;
    return *this;
  }
};

using WorkByModel = std::map<ModelId, ModelWork>;

// Adds the work of each model in aOther to aSum.
inline void AddWork(WorkByModel& aSum, const WorkByModel& aOther)
{
  for (const auto& [model, work] : aOther) {
    aSum[model] += work;
  }
}

} // namespace briarglade
