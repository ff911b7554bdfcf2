// What one answer takes of an AnswerBudget, until the hold is destroyed.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace briarglade {

class AnswerBudget;

class AnswerHold
{
public:
  // The name of the request is for the log; empty for a call of the node's own.
  AnswerHold(std::shared_ptr<AnswerBudget> aBudget, std::string aRequest);
  ~AnswerHold();
  AnswerHold(const AnswerHold&) = delete;
  AnswerHold& operator=(const AnswerHold&) = delete;

  // Allows the answer to be cut: the callback must free its bytes, which count
  // no more. Without a callback the answer is never cut.
  void OnCut(std::function<void()> aCallback);
  // States how many bytes the answer holds now. This may cut it or others.
  void SetBytes(size_t aBytes);

private:
  friend class AnswerBudget;

  const std::shared_ptr<AnswerBudget> m_budget;
  const std::string m_request;
  std::function<void()> m_onCut;
  size_t m_bytes = 0;
  bool m_isCut = false;
};

} // namespace briarglade
