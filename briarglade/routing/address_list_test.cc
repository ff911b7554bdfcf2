// Tests of the address answer.

#include "briarglade/routing/address_list.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

AddressCandidate MakeCandidate(const std::string& aNode, uint32_t aInFlight)
{
  AddressCandidate candidate;
  candidate.m_node = NodeId(aNode);
  candidate.m_confirmed = true;
  candidate.m_inFlight = aInFlight;
  return candidate;
}

TEST_CASE("lightly loaded nodes weigh more, within bounds")
{
  const AddressList list = BuildAddressList({ MakeCandidate("a", 10),
                                              MakeCandidate("b", 12),
                                              MakeCandidate("c", 8),
                                              MakeCandidate("d", 0),
                                              MakeCandidate("e", 20) });
  REQUIRE(list.m_entries.size() == 5);
  CHECK(list.m_entries[0].m_weight == 100);
  CHECK(list.m_entries[1].m_weight == 80);
  CHECK(list.m_entries[2].m_weight == 120);
  CHECK(list.m_entries[3].m_weight == 150);
  CHECK(list.m_entries[4].m_weight == 50);
}

TEST_CASE("leaving nodes come last without weight; unconfirmed ones are left "
          "out and make the answer short-lived")
{
  AddressCandidate leaving = MakeCandidate("a", 50);
  leaving.m_leaving = true;
  AddressCandidate unconfirmed = MakeCandidate("b", 50);
  unconfirmed.m_confirmed = false;
  AddressCandidate unknown = MakeCandidate("d", 0);
  unknown.m_inFlight.reset();
  const AddressList whole =
    BuildAddressList({ leaving, MakeCandidate("c", 10), unknown });
  REQUIRE(whole.m_entries.size() == 3);
  CHECK(whole.m_entries[0].m_node == NodeId("c"));
  CHECK(whole.m_entries[0].m_weight == kMeanAddressWeight);
  CHECK(whole.m_entries[1].m_weight == kMeanAddressWeight);
  CHECK(whole.m_entries[2].m_node == NodeId("a"));
  CHECK(whole.m_entries[2].m_weight == 0);
  const AddressList part = BuildAddressList({ unconfirmed, leaving });
  CHECK(part.m_entries.size() == 1);
  CHECK(part.m_lifetime < whole.m_lifetime);
}

} // namespace
} // namespace briarglade
