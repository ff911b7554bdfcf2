// Tests of the order of updates about a server's membership.

#include "briarglade/grouping/membership_history.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

std::optional<GroupMembership> MemberOf(uint64_t aGeneration, GroupPhase aPhase)
{
  GroupMembership membership;
  membership.m_group = GroupId("m." + std::to_string(aGeneration));
  membership.m_generation = Generation(aGeneration);
  membership.m_rank = 1;
  membership.m_phase = aPhase;
  return membership;
}

// One server's known membership, with updates at consecutive times.
struct Server
{
  std::optional<GroupMembership> m_membership;
  MembershipHistory m_history;
  Millis m_now = Millis(1'000);

  UpdateOutcome Take(UpdateSource aSource,
                     std::optional<GroupMembership> aMembership)
  {
    MembershipUpdate update;
    update.m_source = aSource;
    update.m_asOf = m_now += Millis(10);
    update.m_membership = aMembership;
    return m_history.Apply(update, m_membership);
  }
};

TEST_CASE("within a generation, an update to Joining is outdated once the "
          "member was ready")
{
  for (const UpdateSource source :
       { UpdateSource::Row, UpdateSource::Report }) {
    Server server;
    const auto joining = MemberOf(1, GroupPhase::Joining);
    const auto ready = MemberOf(1, GroupPhase::Ready);
    CHECK(server.Take(source, joining) == UpdateOutcome::Applied);
    CHECK(server.Take(source, joining) == UpdateOutcome::Confirmed);
    CHECK(server.Take(source, ready) == UpdateOutcome::Applied);
    CHECK(server.Take(source, joining) == UpdateOutcome::Outdated);
    CHECK(server.m_membership == ready);
    const auto next = MemberOf(2, GroupPhase::Joining);
    CHECK(server.Take(source, next) == UpdateOutcome::Applied);
  }
}

TEST_CASE("a repeated announcement changes nothing")
{
  Server server;
  const auto open = MemberOf(1, GroupPhase::Open);
  CHECK(server.Take(UpdateSource::Announcement, open) ==
        UpdateOutcome::Applied);
  const auto broken = MemberOf(1, GroupPhase::Broken);
  CHECK(server.Take(UpdateSource::Row, broken) == UpdateOutcome::Applied);
  CHECK(server.Take(UpdateSource::Announcement, open) ==
        UpdateOutcome::Outdated);
  CHECK(server.m_membership == broken);
}

} // namespace
} // namespace briarglade
