// Estimates the time to a request's first event and the duration of passes.

#include "briarglade/gateway/start_estimate.h"

#include <algorithm>
#include <cmath>

namespace briarglade {

namespace {

// Returns the duration of a pass without prompt processing, in milliseconds.
double BasePass(const EngineTimes& aTimes, double aRequests)
{
  return aTimes.m_stepsPerPass *
         (aTimes.m_stepMillis + aTimes.m_stepMillisPerRequest * aRequests);
}

// Returns the prompt tokens that one pass processes at most.
double TokensPerPass(const EngineTimes& aTimes)
{
  return static_cast<double>(aTimes.m_prefillChunkTokens) *
         aTimes.m_stepsPerPass;
}

Millis RoundUp(double aMillis)
{
  return Millis(static_cast<int64_t>(std::ceil(aMillis)));
}

} // namespace

Millis EstimateFirstEvent(const EngineTimes& aTimes,
                          const GroupWork& aWork,
                          uint32_t aPromptTokens)
{
  const double tokens =
    static_cast<double>(aWork.m_pendingPromptTokens) + aPromptTokens;
  const double passes =
    std::max(1.0, std::ceil(tokens / TokensPerPass(aTimes)));
  const double runningPass =
    aWork.m_requests == 0 ? 0 : BasePass(aTimes, aWork.m_requests);
  return RoundUp(runningPass +
                 passes * BasePass(aTimes, aWork.m_requests + 1.0) +
                 tokens / aTimes.m_prefillTokensPerMilli);
}

Millis EstimateLongestPass(const EngineTimes& aTimes,
                           const GroupWork& aWork,
                           uint32_t aPromptTokens)
{
  const double tokens =
    static_cast<double>(aWork.m_pendingPromptTokens) + aPromptTokens;
  return RoundUp(BasePass(aTimes, aWork.m_requests + 1.0) +
                 std::min(tokens, TokensPerPass(aTimes)) /
                   aTimes.m_prefillTokensPerMilli);
}

} // namespace briarglade
