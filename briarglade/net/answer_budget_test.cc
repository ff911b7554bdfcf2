// Tests of the bound on all held answers.

#include "briarglade/net/answer_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

#include "briarglade/net/answer_hold.h"

namespace briarglade {
namespace {

TEST_CASE("above the bound the largest answer is cut, also if a small one grew")
{
  const auto budget = std::make_shared<AnswerBudget>(100);
  std::vector<std::string> cuts;
  budget->OnCut([&](const AnswerCut& aCut) {
    cuts.push_back(aCut.m_request + " " + std::to_string(aCut.m_heldBytes) +
                   " of " + std::to_string(aCut.m_allHeldBytes) + " at " +
                   std::to_string(aCut.m_maxBytes));
  });
  AnswerHold small(budget, "small");
  AnswerHold large(budget, "large");
  int smallCuts = 0;
  int largeCuts = 0;
  small.OnCut([&] { ++smallCuts; });
  large.OnCut([&] { ++largeCuts; });
  large.SetBytes(80);
  small.SetBytes(20);
  CHECK(cuts.empty());
  small.SetBytes(30);
  CHECK(cuts == std::vector<std::string>{ "large 80 of 110 at 100" });
  CHECK(budget->HeldBytes() == 30);
  // What is cut counts no more.
  large.SetBytes(90);
  CHECK(budget->HeldBytes() == 30);
  CHECK(largeCuts == 1);
  CHECK(smallCuts == 0);
}

TEST_CASE("an answer without a callback counts and is never cut")
{
  const auto budget = std::make_shared<AnswerBudget>(100);
  AnswerHold own(budget, "");
  AnswerHold other(budget, "other");
  bool isCut = false;
  other.OnCut([&] { isCut = true; });
  other.SetBytes(10);
  own.SetBytes(95);
  CHECK(isCut);
  own.SetBytes(200);
  CHECK(budget->HeldBytes() == 200);
}

TEST_CASE("an answer counts until its hold is destroyed")
{
  const auto budget = std::make_shared<AnswerBudget>(100);
  {
    AnswerHold hold(budget, "first");
    hold.SetBytes(60);
    hold.SetBytes(40);
    CHECK(budget->HeldBytes() == 40);
  }
  CHECK(budget->HeldBytes() == 0);
}

// Guards against unread streams that are bounded only each by itself: together
// they took more than the memory of a small process.
TEST_CASE("unread streams are paused early above a quarter of the bound, and "
          "the largest is cut above half; whole answers are spared")
{
  const auto budget = std::make_shared<AnswerBudget>(400);
  AnswerHold answer(budget, "answer");
  AnswerHold slow(budget, "slow", HeldKind::UnreadStream);
  AnswerHold unread(budget, "unread", HeldKind::UnreadStream);
  std::vector<std::string> cuts;
  answer.OnCut([&] { cuts.emplace_back("answer"); });
  slow.OnCut([&] { cuts.emplace_back("slow"); });
  unread.OnCut([&] { cuts.emplace_back("unread"); });
  answer.SetBytes(190);
  slow.SetBytes(40);
  unread.SetBytes(60);
  CHECK(budget->PauseBytes() == AnswerBudget::kPauseBytes);
  unread.SetBytes(61);
  CHECK(budget->PauseBytes() == 0);
  unread.SetBytes(160);
  CHECK(cuts.empty());
  unread.SetBytes(161);
  CHECK(cuts == std::vector<std::string>{ "unread" });
  CHECK(budget->UnreadStreamBytes() == 40);
  CHECK(budget->HeldBytes() == 230);
  CHECK(budget->CutCount() == 1);
  CHECK(budget->PauseBytes() == AnswerBudget::kPauseBytes);
  // What has been taken counts no more.
  slow.SetBytes(0);
  CHECK(budget->UnreadStreamBytes() == 0);
}

} // namespace
} // namespace briarglade
