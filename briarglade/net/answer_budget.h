// The bound on what all answers that are held at one time take together.
//
// Whoever keeps an answer accounts for it with an AnswerHold. Above the bound,
// the largest answers that may be cut are cut, so that a server that sends
// without end doesn't cost the small answers of others.
//
// Example:
//   auto budget = std::make_shared<AnswerBudget>(kMaxBytes);
//   AnswerHold hold(budget, "request-1");
//   hold.OnCut([&] { body = std::string(); });
//   hold.SetBytes(body.capacity());

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_set>

namespace briarglade {

class AnswerHold;

// An answer that was cut, and what was held just before.
struct AnswerCut
{
  std::string m_request;
  size_t m_heldBytes = 0;
  size_t m_allHeldBytes = 0;
  size_t m_maxBytes = 0;
};

class AnswerBudget
{
public:
  explicit AnswerBudget(size_t aMaxBytes);
  AnswerBudget(const AnswerBudget&) = delete;
  AnswerBudget& operator=(const AnswerBudget&) = delete;

  // Bytes that all answers hold now.
  size_t HeldBytes() const { return m_heldBytes; }
  // Calls back for each answer that is cut.
  void OnCut(std::function<void(const AnswerCut&)> aCallback);

private:
  friend class AnswerHold;

  // Replaces what an answer counted for by what it holds now, then keeps to the
  // bound.
  void Count(size_t aBefore, size_t aNow);
  // Cuts the largest answer. Returns false if none may be cut.
  bool CutLargest();

  const size_t m_maxBytes;
  size_t m_heldBytes = 0;
  std::unordered_set<AnswerHold*> m_holds;
  std::function<void(const AnswerCut&)> m_onCut;
};

} // namespace briarglade
