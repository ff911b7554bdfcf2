// Tests of the record of the last starts at addresses.

#include "briarglade/entry/address_owners.h"

#include <doctest/doctest.h>
#include <optional>

namespace briarglade {
namespace {

const Endpoint kAddress{ "10.0.0.1", 80 };
const HostId kOld("old");
const HostId kNew("new");

TEST_CASE("a later start at an address ends the server that started earlier")
{
  AddressOwners owners;
  CHECK(owners.RecordStart(kAddress, kOld, 1'000) == std::nullopt);
  CHECK(owners.RecordStart(kAddress, kNew, 2'000) == kOld);
  CHECK(owners.OwnerAt(kAddress).m_server == kNew);
  CHECK(owners.OwnerAt(kAddress).m_startedAt == 2'000);
  CHECK(owners.OwnerAt(Endpoint()).m_server.IsEmpty());
}

TEST_CASE("an entry of an earlier start that is read late ends its own server")
{
  AddressOwners owners;
  owners.RecordStart(kAddress, kNew, 2'000);
  CHECK(owners.RecordStart(kAddress, kOld, 1'000) == kOld);
  CHECK(owners.RecordStart(kAddress, kNew, 2'000) == std::nullopt);
}

TEST_CASE("a restart under the same id ends no other server")
{
  AddressOwners owners;
  owners.RecordStart(kAddress, kOld, 1'000);
  CHECK(owners.RecordStart(kAddress, kOld, 2'000) == std::nullopt);
  CHECK(owners.RecordStart(kAddress, kNew, 3'000) == kOld);
}

TEST_CASE("the same start, an unknown start and an unknown address end none")
{
  AddressOwners owners;
  owners.RecordStart(kAddress, kOld, 1'000);
  CHECK(owners.RecordStart(kAddress, kNew, 1'000) == std::nullopt);
  CHECK(owners.RecordStart(kAddress, kNew, 0) == std::nullopt);
  owners.RecordStart(Endpoint(), kOld, 1'000);
  CHECK(owners.RecordStart(Endpoint(), kNew, 2'000) == std::nullopt);
}

TEST_CASE(
  "a server that answers at its address is there, whatever an entry said")
{
  AddressOwners owners;
  owners.RecordStart(kAddress, kOld, 1'000);
  owners.RecordStart(kAddress, kNew, 2'000);
  CHECK(owners.Confirm(kAddress, kOld, 1'000) == kNew);
  CHECK(owners.Confirm(kAddress, kOld, 1'000) == std::nullopt);
  CHECK(owners.RecordStart(kAddress, kNew, 3'000) == kOld);
}

TEST_CASE("a server that is removed owns its address no longer")
{
  AddressOwners owners;
  owners.RecordStart(kAddress, kOld, 1'000);
  owners.Remove(kAddress, kNew);
  CHECK(owners.RecordStart(kAddress, kNew, 500) == kNew);
  owners.Remove(kAddress, kOld);
  CHECK(owners.RecordStart(kAddress, kNew, 500) == std::nullopt);
}

} // namespace
} // namespace briarglade
