// Estimates when a model group could start to answer a request, and how long
// its passes would then take, from the engine's stated times and the work that
// the group has. A pass is a fixed number of token steps; its output appears at
// its end. Prompts are processed in order of arrival, in chunks between the
// steps.
//
// Designed for these load patterns:
// - A surge of requests to model groups. By the number of slots alone a group
//   accepts requests whose first event comes long after their goal.
// - Long prompts among short ones. The chunks of a long prompt lengthen the
//   passes, and so the pauses of every request that runs in the group.
//
// Example:
//   if (EstimateFirstEvent(times, work, tokens) <= timeLeft) { ... }

#pragma once

#include <cstdint>

#include "briarglade/base/millis.h"

namespace briarglade {

// The stated times of a group's engine, and the strictest goal for the pauses
// of the routes to its service. Zero: unknown.
struct EngineTimes
{
  // Duration of a token step: the base time, and the addition for each
  // concurrent request, in milliseconds.
  double m_stepMillis = 0;
  double m_stepMillisPerRequest = 0;
  // Prompt tokens processed per millisecond, and the maximum per token step.
  double m_prefillTokensPerMilli = 0;
  uint32_t m_prefillChunkTokens = 0;
  uint32_t m_stepsPerPass = 0;
  // The longest pause between two events.
  Millis m_gapGoal;

  // Returns whether estimates can be made.
  bool AreKnown() const
  {
    return m_stepMillis > 0 && m_prefillTokensPerMilli > 0 &&
           m_prefillChunkTokens > 0 && m_stepsPerPass > 0;
  }
  // Returns the same with all durations of the engine multiplied by aFactor.
  EngineTimes MultipliedBy(double aFactor) const
  {
    EngineTimes times = *this;
    times.m_stepMillis *= aFactor;
    times.m_stepMillisPerRequest *= aFactor;
    times.m_prefillTokensPerMilli =
      aFactor > 0 ? m_prefillTokensPerMilli / aFactor : 0;
    return times;
  }
};

// The work in a group: requests in flight from all nodes, and the prompt tokens
// of those whose answer has not started.
struct GroupWork
{
  uint32_t m_requests = 0;
  uint64_t m_pendingPromptTokens = 0;
};

// Returns the time until the first event of one more request. aTimes must be
// known. The running pass is assumed to have just begun.
Millis EstimateFirstEvent(const EngineTimes& aTimes,
                          const GroupWork& aWork,
                          uint32_t aPromptTokens);

// Returns the longest pass, and so the longest pause of the requests that run,
// once one more request has been added. aTimes must be known.
Millis EstimateLongestPass(const EngineTimes& aTimes,
                           const GroupWork& aWork,
                           uint32_t aPromptTokens);

} // namespace briarglade
