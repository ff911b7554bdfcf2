// The planner of a domain: each rule in a small case, and random histories.

#include "briarglade/placement/domain_plan.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <string>

namespace briarglade {

namespace {

const ModelId kModel("m");

// A domain whose hosts are named h0, h1 and so on.
class Domain
{
public:
  Domain(uint32_t aHosts, uint32_t aGroups)
  {
    m_input.m_domain = DomainId("d");
    m_input.m_loadRate = 10;
    m_input.m_demand.push_back(ModelDemand{ kModel, 3, aGroups, 0, 10 });
    for (uint32_t host = 0; host < aHosts; ++host) {
      PlannerHost entry;
      entry.m_id = HostId("h" + std::to_string(host));
      m_input.m_hosts.push_back(entry);
    }
    Plan();
    Settle();
  }

  const DomainPlan& Plan()
  {
    m_plan = PlanDomain(m_input);
    m_input.m_present = m_plan.m_next;
    return m_plan;
  }

  // Lets every group that takes work serve, and forgets released ones.
  void Settle()
  {
    auto& groups = m_input.m_present.m_groups;
    for (Group& group : groups) {
      if (TakesWork(group)) {
        group.m_state = GroupState::Serving;
      }
    }
    groups.erase(std::remove_if(groups.begin(),
                                groups.end(),
                                [](const Group& aGroup) {
                                  return aGroup.m_state == GroupState::Released;
                                }),
                 groups.end());
  }

  void Set(size_t aHost, HostCondition aCondition)
  {
    m_input.m_hosts[aHost].m_condition = aCondition;
    m_input.m_hosts[aHost].m_missingFor = Millis(10'000);
  }

  uint32_t CompleteGroups() const
  {
    uint32_t count = 0;
    for (const Group& group : m_input.m_present.m_groups) {
      const bool isWhole =
        std::all_of(group.m_members.begin(),
                    group.m_members.end(),
                    [this](const HostId& aHost) { return IsUsable(aHost); });
      count += TakesWork(group) && isWhole ? 1 : 0;
    }
    return count;
  }

  bool Has(MoveReason aReason) const
  {
    return std::any_of(
      m_plan.m_moves.begin(), m_plan.m_moves.end(), [&](const Move& aMove) {
        return aMove.m_reason == aReason;
      });
  }

  uint32_t Usable() const
  {
    return static_cast<uint32_t>(std::count_if(m_input.m_hosts.begin(),
                                               m_input.m_hosts.end(),
                                               [](const PlannerHost& aHost) {
                                                 return aHost.m_condition ==
                                                        HostCondition::Usable;
                                               }));
  }

  DomainPlanInput m_input;
  DomainPlan m_plan;

private:
  bool IsUsable(const HostId& aHost) const
  {
    return std::any_of(m_input.m_hosts.begin(),
                       m_input.m_hosts.end(),
                       [&](const PlannerHost& aEntry) {
                         return aEntry.m_id == aHost &&
                                aEntry.m_condition == HostCondition::Usable;
                       });
  }
};

} // namespace

TEST_CASE("what the planner does about one or two hosts")
{
  struct Case
  {
    const char* m_name;
    uint32_t m_hosts;
    std::vector<size_t> m_changed;
    HostCondition m_condition;
    MoveReason m_reason;
    uint32_t m_complete;
    size_t m_hostMoves;
  };
  using Condition = HostCondition;
  using Reason = MoveReason;
  const std::vector<Case> cases = {
    { "nothing", 7, {}, Condition::Usable, Reason::None, 2, 0 },
    { "spare", 7, { 0 }, Condition::Missing, Reason::ReplacedMissing, 2, 1 },
    { "no spare", 6, { 0 }, Condition::Missing, Reason::TooFewHosts, 1, 0 },
    { "merge", 6, { 0, 3 }, Condition::Missing, Reason::Merged, 1, 1 },
    { "slow", 7, { 1 }, Condition::Straggler, Reason::DrainStraggler, 1, 0 },
    { "slow, no spare", 6, { 1 }, Condition::Straggler, Reason::None, 1, 0 },
    { "leaving", 6, { 1 }, Condition::Leaving, Reason::DrainLeaving, 1, 0 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.m_name);
    Domain domain(entry.m_hosts, 2);
    for (const size_t host : entry.m_changed) {
      domain.Set(host, entry.m_condition);
    }
    domain.Plan();
    CHECK(domain.CompleteGroups() == entry.m_complete);
    CHECK((entry.m_reason == Reason::None ? domain.m_plan.m_moves.empty()
                                          : domain.Has(entry.m_reason)));
    const auto moves =
      std::count_if(domain.m_plan.m_moves.begin(),
                    domain.m_plan.m_moves.end(),
                    [](const Move& aMove) { return !aMove.m_host.IsEmpty(); });
    CHECK(static_cast<size_t>(moves) == entry.m_hostMoves);
    domain.Plan();
    CHECK(domain.m_plan.m_moves.empty());
  }
}

TEST_CASE(
  "a drained group gets its replacement; a serving one is drained first")
{
  Domain domain(7, 2);
  domain.Set(1, HostCondition::Straggler);
  domain.Plan();
  CHECK(domain.m_input.m_present.m_groups[0].m_members[1] == HostId("h1"));
  domain.m_input.m_drained.insert(domain.m_input.m_present.m_groups[0].m_id);
  domain.Plan();
  CHECK(domain.Has(MoveReason::ReplacedStraggler));
  CHECK(domain.CompleteGroups() == 2);
  CHECK(domain.m_input.m_present.m_groups[0].m_generation == Generation(2));
}

TEST_CASE("waiting pays only while a return is likely and saves much")
{
  const ReturnOdds odds;
  CHECK_FALSE(ShouldAwaitReturn(odds, Millis(0), Millis(10'000)));
  CHECK(ShouldAwaitReturn(odds, Millis(0), Millis(600'000)));
  CHECK_FALSE(ShouldAwaitReturn(odds, Millis(600'000), Millis(600'000)));
}

TEST_CASE("random histories: distinct hosts, nothing stranded, nothing to add")
{
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Domain domain(4 + random() % 20, 1 + random() % 7);
    for (uint32_t step = 0; step < 60; ++step) {
      const std::vector<HostCondition> conditions = { HostCondition::Usable,
                                                      HostCondition::Missing,
                                                      HostCondition::Usable };
      domain.Set(random() % domain.m_input.m_hosts.size(),
                 conditions[random() % conditions.size()]);
      domain.m_input.m_demand[0].m_groups = 1 + random() % 7;
      domain.Plan();
      // Surplus groups drain at once here.
      for (const Group& group : domain.m_input.m_present.m_groups) {
        domain.m_input.m_drained.insert(group.m_id);
      }
      domain.Plan();
      domain.Settle();
      REQUIRE(HostsAreDistinct(domain.m_input.m_present));
      REQUIRE(
        domain.CompleteGroups() ==
        std::min(domain.m_input.m_demand[0].m_groups, domain.Usable() / 3));
      domain.m_input.m_drained.clear();
      domain.Plan();
      REQUIRE(domain.m_plan.m_moves.empty());
    }
  }
}

} // namespace briarglade
