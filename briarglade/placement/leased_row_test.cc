// Leases under pauses, lost answers and writes that take effect late.

#include "briarglade/placement/leased_row.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>
#include <variant>
#include <vector>

#include "briarglade/base/overloaded.h"
#include "briarglade/placement/fake_table_test.h"

namespace briarglade {

namespace {

class LeaseHistory
{
public:
  explicit LeaseHistory(uint32_t aSeed)
    : m_random(aSeed)
  {
    for (uint32_t rank = 0; rank < 3; ++rank) {
      Member member;
      member.m_row.m_leaseKey = RowKey("lease/d");
      member.m_row.m_rowKey = RowKey("domain/d");
      member.m_row.m_self = NodeId("node-" + std::to_string(rank));
      member.m_row.m_rank = rank;
      member.m_ids = UniqueIds(member.m_row.m_self, 1);
      m_members.push_back(std::move(member));
    }
  }

  // Returns what didn't hold, or an empty text.
  std::string Run(Millis aTime)
  {
    for (m_now = Millis(); m_now < aTime; m_now += Millis(50)) {
      if (Pick(300) == 0) {
        m_isDown = !m_isDown;
      }
      while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
        const auto work = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        work();
      }
      for (Member& member : m_members) {
        Step(member);
      }
      std::string wrong = Check();
      if (!wrong.empty()) {
        return wrong;
      }
    }
    return {};
  }

  uint32_t m_changes = 0;
  uint64_t m_highestToken = 0;

private:
  struct Member
  {
    LeasedRow m_row;
    UniqueIds m_ids;
    Millis m_pausedUntil;
    std::vector<TableResult> m_backlog;
  };

  uint32_t Pick(uint32_t aBelow) { return m_random() % aBelow; }

  void Step(Member& aMember)
  {
    if (Pick(400) == 0) {
      aMember.m_pausedUntil = m_now + Millis(Pick(30'000));
    }
    if (m_now < aMember.m_pausedUntil) {
      return;
    }
    for (const TableResult& result : aMember.m_backlog) {
      OnLeasedResult(aMember.m_row, m_now, result);
    }
    aMember.m_backlog.clear();
    std::vector<TableOperation> operations;
    TickLeasedRow(aMember.m_row, m_now, aMember.m_ids, operations);
    if (MayChange(aMember.m_row, m_now) && Pick(20) == 0) {
      ++m_changes;
      ProposeValue(aMember.m_row, m_now, "body", aMember.m_ids, operations);
    }
    for (const TableOperation& operation : operations) {
      std::visit(
        Overloaded{
          [&](const TableRead& aRead) { Answer(aMember, m_table.Read(aRead)); },
          [&](const TableWrite& aWrite) { Write(aMember, aWrite); } },
        operation);
    }
  }

  void Write(Member& aMember, const TableWrite& aWrite)
  {
    if (Pick(8) != 0) {
      // A write that is on its way while the table goes down is never applied.
      Answer(aMember,
             m_isDown ? FakeTable::ResultOf(aWrite.m_operation, aWrite.m_key)
                      : m_table.Write(aWrite));
      return;
    }
    TableResult lost = FakeTable::ResultOf(aWrite.m_operation, aWrite.m_key);
    lost.m_status = TableStatus::Unknown;
    m_queue.emplace(m_now + Millis(Pick(8'000)),
                    [this, aWrite] { m_table.Apply(aWrite); });
    Deliver(aMember, lost, Millis(500));
  }

  void Answer(Member& aMember, TableResult aResult)
  {
    if (m_isDown) {
      aResult = FakeTable::ResultOf(aResult.m_operation, aResult.m_key);
    }
    Deliver(aMember, aResult, Millis(50));
  }

  void Deliver(Member& aMember, const TableResult& aResult, Millis aDelay)
  {
    m_queue.emplace(m_now + aDelay, [&aMember, aResult] {
      aMember.m_backlog.push_back(aResult);
    });
  }

  std::string Check()
  {
    uint32_t holders = 0;
    for (const Member& member : m_members) {
      holders += HoldsLease(member.m_row, m_now) ? 1 : 0;
      if (MayChange(member.m_row, m_now) &&
          m_table.VersionOf("domain/d") != member.m_row.m_version) {
        return "a row changed under its holder";
      }
      m_highestToken = std::max(m_highestToken, member.m_row.m_token.Value());
    }
    return holders > 1 ? "two holders" : "";
  }

  std::mt19937 m_random;
  Millis m_now;
  bool m_isDown = false;
  FakeTable m_table;
  std::vector<Member> m_members;
  std::multimap<Millis, std::function<void()>> m_queue;
};

} // namespace

TEST_CASE("one node at a time holds a lease, and nobody else changes its row")
{
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    LeaseHistory history(seed);
    REQUIRE(history.Run(Millis(600'000)) == "");
    // The history is worth something: leases moved, rows changed.
    CHECK(history.m_highestToken >= 3);
    CHECK(history.m_changes >= 50);
  }
}

} // namespace briarglade
