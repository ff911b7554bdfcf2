// Measures the work that a node's callers request of each model. Every request
// counts once when it arrives, also if it then waits or is refused, so that a
// model whose groups are full shows its whole demand.
//
// The load pattern: the shares of the models change within seconds. The counts
// are smoothed exponentially over a few seconds, which evens out the randomness
// of single arrivals.
//
// Example:
//   meter.Record(now, model, promptTokens, answerTokens);
//   WorkByModel work = meter.Rates(now);

#pragma once

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/grouping/model_work.h"

namespace briarglade {

class WorkMeter
{
public:
  // Records a request that has arrived at aNow.
  void Record(Millis aNow,
              const ModelId& aModel,
              double aPromptTokens,
              double aAnswerTokens);
  // Returns the work per second of each model that has requests. Models whose
  // work has become negligible are left out.
  WorkByModel Rates(Millis aNow) const;

private:
  struct Entry
  {
    // The sum of the work, each request weighted by its age at m_at.
    ModelWork m_sum;
    Millis m_at;
  };

  // When the first request arrived. Until the smoothing time has passed since,
  // the sums are divided by the time that they cover.
  Millis m_since = Millis(-1);
  std::map<ModelId, Entry> m_entries;
};

} // namespace briarglade
