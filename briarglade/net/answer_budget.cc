// The sum of all held answers, and the choice of the one to cut.

#include "briarglade/net/answer_budget.h"

#include <utility>

#include "briarglade/net/answer_hold.h"

namespace briarglade {

namespace {

// Unread streams may take the bound divided by this.
constexpr size_t kUnreadStreamsDivisor = 2;
// Once they take the bound divided by this, reading pauses as soon as anything
// is unread.
constexpr size_t kEarlyPauseDivisor = 4;

} // namespace

AnswerBudget::AnswerBudget(size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

void AnswerBudget::OnCut(std::function<void(const AnswerCut&)> aCallback)
{
  m_onCut = std::move(aCallback);
}

size_t AnswerBudget::PauseBytes() const
{
  return m_unreadStreamBytes > m_maxBytes / kEarlyPauseDivisor ? 0
                                                               : kPauseBytes;
}

void AnswerBudget::Count(AnswerHold& aHold, size_t aBytes)
{
  const size_t before = std::exchange(aHold.m_bytes, aBytes);
  m_heldBytes = m_heldBytes - before + aBytes;
  if (aHold.m_kind == HeldKind::UnreadStream) {
    m_unreadStreamBytes = m_unreadStreamBytes - before + aBytes;
  }
}

void AnswerBudget::KeepBounds()
{
  while (m_unreadStreamBytes > m_maxBytes / kUnreadStreamsDivisor &&
         CutLargest(true)) {
  }
  while (m_heldBytes > m_maxBytes && CutLargest(false)) {
  }
}

bool AnswerBudget::CutLargest(bool aUnreadStreamsOnly)
{
  AnswerHold* largest = nullptr;
  for (AnswerHold* hold : m_holds) {
    const bool isCandidate =
      hold->m_onCut && hold->m_bytes > 0 &&
      (!aUnreadStreamsOnly || hold->m_kind == HeldKind::UnreadStream);
    if (isCandidate &&
        (largest == nullptr || hold->m_bytes > largest->m_bytes)) {
      largest = hold;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  const AnswerCut cut{ largest->m_request,
                       largest->m_bytes,
                       aUnreadStreamsOnly,
                       aUnreadStreamsOnly ? m_unreadStreamBytes : m_heldBytes,
                       aUnreadStreamsOnly ? m_maxBytes / kUnreadStreamsDivisor
                                          : m_maxBytes };
  Count(*largest, 0);
  largest->m_isCut = true;
  ++m_cutCount;
  const std::function<void()> onCut = std::exchange(largest->m_onCut, nullptr);
  // May destroy the hold.
  onCut();
  if (m_onCut) {
    m_onCut(cut);
  }
  return true;
}

} // namespace briarglade
