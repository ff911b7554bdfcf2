// A token bucket for retries. Each success, or each request, earns a fraction
// of a retry, so that retries cannot multiply the load of a failing fleet.
//
// Example:
//   budget.NoteSuccess();
//   if (budget.TryConsume()) { Retry(); }

#pragma once

#include <algorithm>

namespace briarglade {

class RetryBudget
{
public:
  RetryBudget() = default;
  // Each success adds aTokensPerSuccess, up to aMaxTokens. The saved tokens
  // cover the loss of many exchanges at once.
  RetryBudget(double aTokensPerSuccess, double aMaxTokens)
    : m_tokensPerSuccess(aTokensPerSuccess)
    , m_maxTokens(aMaxTokens)
    , m_tokens(aMaxTokens)
  {
  }

  // Adds tokens for an event that earns retries.
  void NoteSuccess()
  {
    m_tokens = std::min(m_maxTokens, m_tokens + m_tokensPerSuccess);
  }

  // Consumes one retry. Returns false if the budget is exhausted.
  bool TryConsume()
  {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  double m_tokensPerSuccess = 0.2;
  double m_maxTokens = 128.0;
  double m_tokens = 128.0;
};

} // namespace briarglade
