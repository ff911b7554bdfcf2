// A token bucket for retries: successes earn a share of a retry each, so that
// retries can't multiply the load of a fleet that is failing.
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
  // A request has succeeded.
  void NoteSuccess()
  {
    m_tokens = std::min(kMaxTokens, m_tokens + kTokensPerSuccess);
  }

  // Takes one retry from the budget. Returns false if it is spent.
  bool Take()
  {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  // Retries that one success earns.
  static constexpr double kTokensPerSuccess = 0.2;
  // Retries that may be saved up, for the loss of many exchanges at once.
  static constexpr double kMaxTokens = 128.0;

  double m_tokens = kMaxTokens;
};

} // namespace briarglade
