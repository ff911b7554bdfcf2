// One answer's share of the budget.

#include "briarglade/net/answer_hold.h"

#include <utility>

#include "briarglade/net/answer_budget.h"

namespace briarglade {

AnswerHold::AnswerHold(std::shared_ptr<AnswerBudget> aBudget,
                       std::string aRequest,
                       HeldKind aKind)
  : m_budget(std::move(aBudget))
  , m_request(std::move(aRequest))
  , m_kind(aKind)
{
  m_budget->m_holds.insert(this);
}

AnswerHold::~AnswerHold()
{
  m_budget->m_holds.erase(this);
  m_budget->Count(*this, 0);
}

void AnswerHold::OnCut(std::function<void()> aCallback)
{
  m_onCut = std::move(aCallback);
}

void AnswerHold::SetBytes(size_t aBytes)
{
  if (!m_isCut) {
    m_budget->Count(*this, aBytes);
    m_budget->KeepBounds();
  }
}

} // namespace briarglade
