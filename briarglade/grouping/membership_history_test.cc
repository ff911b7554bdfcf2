// Tests of the order of updates about a server's membership: each source
// against each other one, earlier and later.

#include "briarglade/grouping/membership_history.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

using Membership = std::optional<GroupMembership>;

constexpr UpdateSource kSources[] = { UpdateSource::Row,
                                      UpdateSource::Report,
                                      UpdateSource::Announcement,
                                      UpdateSource::Order };

Membership MemberOf(uint64_t aGeneration, GroupPhase aPhase)
{
  GroupMembership membership;
  membership.m_group = GroupId("m." + std::to_string(aGeneration));
  membership.m_generation = Generation(aGeneration);
  membership.m_rank = 0;
  membership.m_phase = aPhase;
  return membership;
}

// One server's known membership.
struct Server
{
  Membership m_membership;
  MembershipHistory m_history;
  Millis m_now = Millis(1'000);

  UpdateOutcome Take(UpdateSource aSource, const Membership& aMembership)
  {
    m_now += Millis(10);
    return TakeAt(m_now, aSource, aMembership);
  }
  UpdateOutcome TakeAt(Millis aAsOf,
                       UpdateSource aSource,
                       const Membership& aMembership,
                       std::optional<uint64_t> aOrders = std::nullopt,
                       int64_t aStartedAt = 0)
  {
    MembershipUpdate update;
    update.m_source = aSource;
    update.m_asOf = aAsOf;
    update.m_startedAt = aStartedAt;
    update.m_membership = aMembership;
    update.m_orderCount = aOrders;
    return m_history.Apply(update, m_membership);
  }
};

const Membership kNone;

TEST_CASE("an update of a higher generation applies, whoever brings it and "
          "whatever was known")
{
  for (const UpdateSource first : kSources) {
    for (const UpdateSource second : kSources) {
      Server server;
      server.Take(first, MemberOf(1, GroupPhase::Open));
      const Membership next = MemberOf(2, GroupPhase::Joining);
      CHECK(server.Take(second, next) == UpdateOutcome::Applied);
      CHECK(server.m_membership == next);
      CHECK(server.m_history.Source() == second);
    }
  }
}

TEST_CASE("within a generation, an update to Joining is outdated once the "
          "member was ready")
{
  for (const UpdateSource first : kSources) {
    for (const UpdateSource second : kSources) {
      Server server;
      const Membership ready = MemberOf(1, GroupPhase::Ready);
      server.Take(first, ready);
      CHECK(server.Take(second, MemberOf(1, GroupPhase::Joining)) ==
            UpdateOutcome::Outdated);
      CHECK(server.m_membership == ready);
    }
  }
}

TEST_CASE("TWO: a row without a group does not end a group that no row has "
          "shown")
{
  for (const UpdateSource source :
       { UpdateSource::Report, UpdateSource::Announcement }) {
    Server server;
    server.Take(UpdateSource::Row, MemberOf(1, GroupPhase::Open));
    const Membership open = MemberOf(2, GroupPhase::Open);
    server.Take(source, open);
    CHECK(server.Take(UpdateSource::Row, kNone) == UpdateOutcome::Ambiguous);
    CHECK(server.m_membership == open);
    // Rows of the group follow, then the row that ends it.
    CHECK(server.Take(UpdateSource::Row, MemberOf(2, GroupPhase::Ready)) ==
          UpdateOutcome::Outdated);
    CHECK(server.Take(UpdateSource::Row, open) == UpdateOutcome::Confirmed);
    CHECK(server.Take(UpdateSource::Row, kNone) == UpdateOutcome::Applied);
    CHECK(server.m_membership == kNone);
  }
}

TEST_CASE("a row of a lower generation is outdated")
{
  Server server;
  server.Take(UpdateSource::Report, MemberOf(2, GroupPhase::Open));
  CHECK(server.Take(UpdateSource::Row, MemberOf(1, GroupPhase::Broken)) ==
        UpdateOutcome::Outdated);
}

TEST_CASE("a report that was requested later shows that the server has left")
{
  for (const UpdateSource source : kSources) {
    Server server;
    server.Take(source, MemberOf(1, GroupPhase::Open));
    CHECK(server.Take(UpdateSource::Report, kNone) == UpdateOutcome::Applied);
    // The announcement is repeated.
    CHECK(
      server.Take(UpdateSource::Announcement, MemberOf(1, GroupPhase::Open)) ==
      UpdateOutcome::Outdated);
    CHECK(server.m_membership == kNone);
  }
}

TEST_CASE("a report that was requested before a server joined is outdated")
{
  for (const UpdateSource source : kSources) {
    Server server;
    server.Take(UpdateSource::Report, MemberOf(1, GroupPhase::Open));
    const Millis requestedAt = server.m_now + Millis(1);
    const Membership joining = MemberOf(2, GroupPhase::Joining);
    server.Take(source, joining);
    CHECK(server.TakeAt(
            requestedAt, UpdateSource::Report, MemberOf(1, GroupPhase::Open)) ==
          UpdateOutcome::Outdated);
    CHECK(server.m_membership == joining);
  }
}

TEST_CASE("of two reports, the one after more accepted orders is newer")
{
  Server server;
  const Membership open = MemberOf(1, GroupPhase::Open);
  server.TakeAt(Millis(1'000), UpdateSource::Report, open, 5);
  CHECK(server.TakeAt(Millis(1'100), UpdateSource::Report, kNone, 4) ==
        UpdateOutcome::Outdated);
  CHECK(server.m_history.OrderCount() == 5);
  CHECK(server.TakeAt(Millis(900), UpdateSource::Report, kNone, 6) ==
        UpdateOutcome::Applied);
  CHECK(server.m_membership == kNone);
}

TEST_CASE("without an order in between, no report takes a member back")
{
  Server server;
  const Membership open = MemberOf(1, GroupPhase::Open);
  server.TakeAt(Millis(1'000), UpdateSource::Report, open, 5);
  CHECK(server.TakeAt(Millis(1'100),
                      UpdateSource::Report,
                      MemberOf(1, GroupPhase::Ready),
                      5) == UpdateOutcome::Outdated);
  CHECK(server.m_membership == open);
}

TEST_CASE("a closed group is ready again, by a report or by its rows")
{
  for (const UpdateSource source :
       { UpdateSource::Report, UpdateSource::Row }) {
    Server server;
    server.Take(source, MemberOf(1, GroupPhase::Open));
    const Membership ready = MemberOf(1, GroupPhase::Ready);
    CHECK(server.Take(source, ready) == UpdateOutcome::Applied);
    CHECK(server.m_membership == ready);
  }
}

TEST_CASE("an accepted order to leave ends the group at once")
{
  Server server;
  server.Take(UpdateSource::Report, MemberOf(1, GroupPhase::Open));
  CHECK(server.Take(UpdateSource::Order, kNone) == UpdateOutcome::Applied);
  CHECK(server.Take(UpdateSource::Row, MemberOf(1, GroupPhase::Open)) ==
        UpdateOutcome::Outdated);
  CHECK(server.m_membership == kNone);
  CHECK(server.m_history.LastGroup() == GroupId("m.1"));
}

TEST_CASE("a later process of the server has no group, and an update of an "
          "earlier one is outdated")
{
  for (const UpdateSource source :
       { UpdateSource::Row, UpdateSource::Report }) {
    Server server;
    const Membership open = MemberOf(1, GroupPhase::Open);
    server.TakeAt(Millis(1'000), UpdateSource::Row, open, {}, 1);
    CHECK(server.TakeAt(Millis(1'100), source, kNone, 0, 2) ==
          UpdateOutcome::Confirmed);
    CHECK(server.m_membership == kNone);
    CHECK(server.TakeAt(Millis(1'200), UpdateSource::Row, open, {}, 1) ==
          UpdateOutcome::Outdated);
    CHECK(server.m_membership == kNone);
  }
}

TEST_CASE("a membership is reported only by the server itself, and only until "
          "the next order")
{
  Server server;
  const Membership open = MemberOf(1, GroupPhase::Open);
  server.Take(UpdateSource::Row, open);
  CHECK_FALSE(server.m_history.IsReported());
  server.TakeAt(Millis(1'100), UpdateSource::Report, open, 3);
  CHECK(server.m_history.IsReported());
  // A row that confirms the report does not replace it.
  server.Take(UpdateSource::Row, open);
  CHECK(server.m_history.IsReported());
  server.m_history.InvalidateReport(Millis(1'200));
  CHECK_FALSE(server.m_history.IsReported());
  // A report that was on its way when the order ended may not show it.
  server.TakeAt(Millis(1'190), UpdateSource::Report, open, 3);
  CHECK_FALSE(server.m_history.IsReported());
  server.TakeAt(Millis(1'210), UpdateSource::Report, open, 4);
  CHECK(server.m_history.IsReported());
}

TEST_CASE("a report that does not state the number of orders is no base for an "
          "order")
{
  Server server;
  server.TakeAt(Millis(1'000), UpdateSource::Report, kNone);
  CHECK_FALSE(server.m_history.IsReported());
}

TEST_CASE("a group that is closing is ready again without another order")
{
  Server server;
  server.TakeAt(
    Millis(1'000), UpdateSource::Report, MemberOf(1, GroupPhase::Closing), 5);
  const Membership ready = MemberOf(1, GroupPhase::Ready);
  CHECK(server.TakeAt(Millis(1'100), UpdateSource::Report, ready, 5) ==
        UpdateOutcome::Applied);
  CHECK(server.m_membership == ready);
}

TEST_CASE("a report of before an accepted order to leave is outdated, also if "
          "it was requested after it")
{
  Server server;
  const Membership open = MemberOf(1, GroupPhase::Open);
  server.TakeAt(Millis(1'000), UpdateSource::Report, open, 4);
  server.TakeAt(Millis(1'100), UpdateSource::Order, kNone);
  CHECK(server.TakeAt(Millis(1'200), UpdateSource::Report, open, 4) ==
        UpdateOutcome::Outdated);
  CHECK(server.m_membership == kNone);
}

TEST_CASE("a repeated announcement changes nothing")
{
  Server server;
  const Membership open = MemberOf(1, GroupPhase::Open);
  CHECK(server.Take(UpdateSource::Announcement, open) ==
        UpdateOutcome::Applied);
  const Membership broken = MemberOf(1, GroupPhase::Broken);
  CHECK(server.Take(UpdateSource::Row, broken) == UpdateOutcome::Applied);
  CHECK(server.Take(UpdateSource::Announcement, open) ==
        UpdateOutcome::Outdated);
  CHECK(server.m_membership == broken);
}

} // namespace
} // namespace briarglade
