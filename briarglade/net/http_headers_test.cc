// Tests of the values of headers.

#include "briarglade/net/http_headers.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

TEST_CASE(
  "an idle time that isn't a number of seconds counts as not stated, and "
  "a long one as an hour")
{
  CHECK(StatedIdleTime("timeout=5") == Millis(5'000));
  CHECK(StatedIdleTime("max=100, timeout=5") == Millis(5'000));
  CHECK(StatedIdleTime("timeout=5, max=100") == Millis(5'000));
  CHECK(StatedIdleTime("timeout=3601") == Millis(3'600'000));
  CHECK(StatedIdleTime("timeout=99999999999999999999999") == Millis(3'600'000));
  for (const char* text : { "",
                            "max=100",
                            "timeout=",
                            "timeout=-5",
                            "timeout=+5",
                            "timeout=soon",
                            "timeout=5s",
                            "timeout=0x10" }) {
    CAPTURE(std::string(text));
    CHECK(StatedIdleTime(text) == Millis());
  }
}

} // namespace
} // namespace briarglade
