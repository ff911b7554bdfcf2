// One answer's share of the budget.

#include "briarglade/net/answer_hold.h"

#include <utility>

#include "briarglade/net/answer_budget.h"

namespace briarglade {

AnswerHold::AnswerHold(std::shared_ptr<AnswerBudget> aBudget,
                       std::string aRequest)
  : m_budget(std::move(aBudget))
  , m_request(std::move(aRequest))
{
  m_budget->m_holds.insert(this);
}

AnswerHold::~AnswerHold()
{
  m_budget->m_holds.erase(this);
  m_budget->m_heldBytes -= m_bytes;
}

void AnswerHold::OnCut(std::function<void()> aCallback)
{
  m_onCut = std::move(aCallback);
}

void AnswerHold::SetBytes(size_t aBytes)
{
  if (!m_isCut) {
    m_budget->Count(std::exchange(m_bytes, aBytes), aBytes);
  }
}

} // namespace briarglade
