// Tests of the compression of row values.

#include "briarglade/entry/packed_value.h"

#include <doctest/doctest.h>
#include <ostream>

namespace briarglade {
namespace {

std::string LargeValue()
{
  std::string value;
  for (int i = 0; i < 2'000; ++i) {
    value += "{\"name\":\"r" + std::to_string(i) + "\",\"kind\":\"stream\"},";
  }
  return value;
}

TEST_CASE("a large value becomes much smaller and is read back unchanged")
{
  const std::string value = LargeValue();
  const auto packed = PackValue(value);
  REQUIRE(packed);
  CHECK(packed->size() < value.size() / 5);
  CHECK(UnpackValue(*packed, value.size()) == value);
}

TEST_CASE("values that compression does not help are left as they are")
{
  CHECK_FALSE(PackValue(""));
  CHECK_FALSE(PackValue("small"));
  CHECK_FALSE(PackValue(std::string(kMaxPackedValueBytes + 1, 'a')));
}

// Any client that reaches the port for other nodes can send these.
TEST_CASE("bytes that are not a compressed value of the stated size are "
          "rejected, and a huge size allocates nothing")
{
  const std::string value = LargeValue();
  const std::string packed = *PackValue(value);
  CHECK_FALSE(UnpackValue("", value.size()));
  CHECK_FALSE(UnpackValue("no such thing", value.size()));
  CHECK_FALSE(UnpackValue(packed, value.size() - 1));
  CHECK_FALSE(UnpackValue(packed, value.size() + 1));
  CHECK_FALSE(UnpackValue(packed.substr(0, packed.size() / 2), value.size()));
  CHECK_FALSE(UnpackValue(packed, kMaxPackedValueBytes + 1));
  CHECK_FALSE(UnpackValue(packed, SIZE_MAX));
}

} // namespace
} // namespace briarglade
