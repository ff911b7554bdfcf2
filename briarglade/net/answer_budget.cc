// The sum of all held answers, and the choice of the one to cut.

#include "briarglade/net/answer_budget.h"

#include <utility>

#include "briarglade/net/answer_hold.h"

namespace briarglade {

AnswerBudget::AnswerBudget(size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

void AnswerBudget::OnCut(std::function<void(const AnswerCut&)> aCallback)
{
  m_onCut = std::move(aCallback);
}

void AnswerBudget::Count(size_t aBefore, size_t aNow)
{
  m_heldBytes = m_heldBytes - aBefore + aNow;
  while (m_heldBytes > m_maxBytes && CutLargest()) {
  }
}

bool AnswerBudget::CutLargest()
{
  AnswerHold* largest = nullptr;
  for (AnswerHold* hold : m_holds) {
    const bool isCandidate = hold->m_onCut && hold->m_bytes > 0;
    if (isCandidate &&
        (largest == nullptr || hold->m_bytes > largest->m_bytes)) {
      largest = hold;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  const AnswerCut cut{
    largest->m_request, largest->m_bytes, m_heldBytes, m_maxBytes
  };
  m_heldBytes -= std::exchange(largest->m_bytes, 0);
  largest->m_isCut = true;
  const std::function<void()> onCut = std::exchange(largest->m_onCut, nullptr);
  // May destroy the hold.
  onCut();
  if (m_onCut) {
    m_onCut(cut);
  }
  return true;
}

} // namespace briarglade
