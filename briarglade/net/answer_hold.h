// What one answer takes of an AnswerBudget, until the hold is destroyed.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace briarglade {

class AnswerBudget;

// What a hold accounts for.
enum class HeldKind
{
  // An answer, or a part of one, that is being received or is forwarded whole.
  Answer,
  // What was written of a stream and its client has not taken.
  UnreadStream
};

class AnswerHold
{
public:
  // The name of the request is for the log; empty for a call of the node's own.
  AnswerHold(std::shared_ptr<AnswerBudget> aBudget,
             std::string aRequest,
             HeldKind aKind = HeldKind::Answer);
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
  const HeldKind m_kind;
  std::function<void()> m_onCut;
  size_t m_bytes = 0;
  bool m_isCut = false;
};

} // namespace briarglade
