// A token bucket for retries: each success, or request, earns a share of a
// retry, so that retries can't multiply the load of a fleet that is failing.
//
// Example:
//   budget.NoteSuccess();
//   if (budget.Take()) { Retry(); }

#pragma once

#include <algorithm>

namespace briarglade {

class RetryBudget
{
public:
  RetryBudget() = default;
  // Each success earns a share of a retry; so many may be saved up, for the
  // loss of many exchanges at once.
  RetryBudget(double aTokensPerSuccess, double aMaxTokens)
    : m_tokensPerSuccess(aTokensPerSuccess)
    , m_maxTokens(aMaxTokens)
    , m_tokens(aMaxTokens)
  {
  }

  // Something that earns retries has happened.
  void NoteSuccess()
  {
    m_tokens = std::min(m_maxTokens, m_tokens + m_tokensPerSuccess);
  }

  // Takes one retry from the budget. Returns false if it is spent.
  bool TryTake()
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
