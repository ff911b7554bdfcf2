// Tests of the product's own rows.

#include "briarglade/entry/own_rows.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

TEST_CASE("own rows come back as they were written")
{
  const NodeRow node{ NodeId("n1"),
                      ZoneId("a"),
                      Endpoint{ "127.0.0.1", 1 },
                      Endpoint{ "127.0.0.1", 2 },
                      77 };
  const std::optional<NodeRow> readNode = DecodeNodeRow(EncodeNodeRow(node));
  REQUIRE(readNode);
  CHECK(readNode->m_node == node.m_node);
  CHECK(readNode->m_peerAddress == node.m_peerAddress);
  CHECK(readNode->m_incarnation == 77);
  const LeaseRow lease{ NodeId("n1"), 77, Millis(5'000), StoreEra(3) };
  const std::optional<LeaseRow> readLease =
    DecodeLeaseRow(EncodeLeaseRow(lease));
  REQUIRE(readLease);
  CHECK(readLease->m_until == Millis(5'000));
}

TEST_CASE("what isn't such a row is none")
{
  for (const char* text : { "",
                            "7",
                            "{}",
                            R"({"node":"n1"})",
                            R"({"holder":7,"incarnation":1,"until-ms":1})" }) {
    CHECK_FALSE(DecodeNodeRow(text));
    CHECK_FALSE(DecodeLeaseRow(text));
  }
}

} // namespace
} // namespace briarglade
