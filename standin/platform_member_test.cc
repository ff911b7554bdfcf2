// Tests of the stand-in model server's orders, and of the audit that watches
// over it: a stand-in that breaks no rule itself must find the breach of one.

#include "standin/platform_member.h"

#include <doctest/doctest.h>

#include "standin/group_audit.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr uint16_t kOk = 200;
constexpr uint16_t kAccepted = 202;
constexpr uint16_t kConflict = 409;
constexpr uint16_t kPreconditionFailed = 412;

PlatformMember MakeMember(const std::string& aId)
{
  PlatformMemberOptions options;
  options.m_domain = "d";
  options.m_models = { PlatformModel{ "m", 2, Millis(1'000), Millis(100) } };
  PlatformMember member(options);
  member.Start(aId);
  return member;
}

json Join(const std::string& aGroup, uint64_t aGeneration, uint64_t aFencing)
{
  return { { "operation", "join" },       { "group", aGroup },
           { "epoch", aGeneration },      { "model", "m" },
           { "fencing_token", aFencing }, { "members", { "a", "b" } } };
}

json Simple(const char* aOperation, const std::string& aGroup, uint64_t aEpoch)
{
  return { { "operation", aOperation },
           { "group", aGroup },
           { "epoch", aEpoch } };
}

TEST_CASE("a join takes a load, then a warm one, then none")
{
  PlatformMember member = MakeMember("a");
  CHECK(member.Take(Millis(0), Join("g1", 1, 5)) == kAccepted);
  CHECK_FALSE(member.Advance(Millis(999)));
  CHECK(member.Advance(Millis(1'000)));
  CHECK(member.Phase() == GroupPhase::Ready);
  CHECK(member.Take(Millis(1'000), Simple("open", "g1", 1)) == kAccepted);
  CHECK(member.Advance(Millis(1'100)));
  CHECK(member.Phase() == GroupPhase::Open);
  CHECK(member.Take(Millis(1'100), Simple("leave", "g1", 1)) == kAccepted);
  CHECK(member.Take(Millis(1'100), Join("g2", 2, 5)) == kAccepted);
  CHECK(member.Advance(Millis(1'300)));
  member.Start("a");
  CHECK(member.Take(Millis(2'000), Join("g3", 3, 5)) == kAccepted);
  CHECK_FALSE(member.Advance(Millis(2'099)));
  CHECK(member.Advance(Millis(2'100)));
}

TEST_CASE("an order that doesn't fit changes nothing")
{
  PlatformMember member = MakeMember("a");
  CHECK(member.Take(Millis(0), Simple("open", "g1", 1)) == kConflict);
  CHECK(member.Take(Millis(0), Join("g2", 2, 5)) == kAccepted);
  CHECK(member.Take(Millis(0), Join("g2", 2, 5)) == kOk);
  CHECK(member.Take(Millis(0), Join("g1", 1, 5)) == kPreconditionFailed);
  CHECK(member.Take(Millis(0), Join("g3", 3, 4)) == kPreconditionFailed);
  CHECK(member.Take(Millis(0), Simple("open", "g2", 2)) == kConflict);
  CHECK(member.Take(Millis(0), Simple("leave", "g2", 1)) == kConflict);
  CHECK(member.Group() == "g2");
  json others = Join("g2", 2, 5);
  others["members"] = { "a", "c" };
  CHECK(member.Take(Millis(0), others) == kPreconditionFailed);
}

TEST_CASE("an order that expects another number of orders changes nothing")
{
  PlatformMember member = MakeMember("a");
  json join = Join("g2", 2, 5);
  join["expected"] = 1;
  CHECK(member.Take(Millis(0), join) == kConflict);
  CHECK_FALSE(member.IsInGroup());
  join["expected"] = 0;
  CHECK(member.Take(Millis(0), join) == kAccepted);
  CHECK(member.Describe()["sequence"] == 1);
  json next = Join("g3", 3, 5);
  next["expected"] = 0;
  CHECK(member.Take(Millis(0), next) == kConflict);
  CHECK(member.Group() == "g2");
}

TEST_CASE("the audit notices a request in an incomplete group")
{
  PlatformMember a = MakeMember("a");
  PlatformMember b = MakeMember("b");
  GroupAudit audit;
  audit.Add(a);
  audit.Add(b);
  a.Take(Millis(0), Join("g1", 1, 5));
  a.Advance(Millis(1'000));
  audit.NoteReady(a);
  audit.BeforeRun(a);
  CHECK(audit.Violations().size() == 1);
  CHECK_FALSE(audit.IsWhole(a));
  b.Take(Millis(0), Join("g1", 1, 5));
  b.Advance(Millis(1'000));
  audit.NoteReady(b);
  audit.BeforeRun(a);
  CHECK(audit.IsWhole(a));
  CHECK(audit.Violations().size() == 1);
  audit.Remove("b");
  CHECK_FALSE(audit.IsWhole(a));
}

TEST_CASE("the audit notices a member that is taken out of a serving group")
{
  PlatformMember a = MakeMember("a");
  PlatformMember b = MakeMember("b");
  GroupAudit audit;
  audit.Add(a);
  audit.Add(b);
  for (PlatformMember* member : { &a, &b }) {
    member->Take(Millis(0), Join("g1", 1, 5));
    member->Advance(Millis(1'000));
  }
  audit.BeforeJoin(b, "g2");
  CHECK(audit.Violations().empty());
  a.Take(Millis(1'000), Simple("open", "g1", 1));
  a.Advance(Millis(1'100));
  audit.BeforeJoin(b, "g2");
  CHECK(audit.Violations().size() == 1);
  a.Take(Millis(1'200), Simple("leave", "g1", 1));
  audit.BeforeJoin(b, "g2");
  CHECK(audit.Violations().size() == 1);
}

} // namespace
} // namespace briarglade::standin
