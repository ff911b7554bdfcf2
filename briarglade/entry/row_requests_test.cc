// Tests of the time and the receiver of requests for missing changes.

#include "briarglade/entry/row_requests.h"

#include <doctest/doctest.h>
#include <ostream>

namespace briarglade {
namespace {

const NodeId kRelay("n1");
const NodeId kBackup("n2");

std::vector<RowVersion> Versions(uint64_t aOperator, uint64_t aServers)
{
  return { RowVersion(aOperator), RowVersion(aServers), RowVersion(1) };
}

FeedVersions Own(uint64_t aOperator, uint64_t aServers)
{
  return { RowVersion(aOperator), RowVersion(aServers), RowVersion(1) };
}

TEST_CASE("changes are requested once they have been missing for a while")
{
  RowRequests requests;
  requests.OnVersions(
    Millis(1'000), Millis(1'000), kRelay, Versions(5, 5), Own(4, 5));
  CHECK(requests.BehindSince(Feed::Operator, Own(4, 5)) == Millis(1'000));
  CHECK_FALSE(requests.BehindSince(Feed::Servers, Own(4, 5)));
  CHECK_FALSE(requests.Next(Millis(1'050), Own(4, 5)));
  CHECK(requests.Next(Millis(1'100), Own(4, 5)) == kRelay);
  CHECK_FALSE(requests.BehindSince(Feed::Operator, Own(5, 5)));
  CHECK_FALSE(requests.Next(Millis(9'000), Own(5, 5)));
}

// Before, any change of any feed counted as an answer, so that the
// configuration was never requested while servers' entries changed often.
TEST_CASE("changes of other feeds do not postpone a request")
{
  RowRequests requests;
  std::optional<NodeId> asked;
  for (uint64_t i = 0; i < 3; ++i) {
    const Millis now(1'000 + static_cast<int64_t>(i) * 50);
    requests.OnVersions(now, now, kRelay, Versions(5, 10 + i), Own(4, 9 + i));
    asked = requests.Next(now, Own(4, 10 + i));
  }
  CHECK(asked == kRelay);
}

// Before, a request was repeated every 100 ms, so that copies of a large answer
// filled a slow link.
TEST_CASE("a request is not repeated while its answer may be on the way")
{
  RowRequests requests;
  int count = 0;
  for (int64_t now = 1'000; now < 1'600; now += 50) {
    requests.OnVersions(
      Millis(now), Millis(now), kRelay, Versions(5, 5), Own(4, 5));
    count += requests.Next(Millis(now), Own(4, 5)) ? 1 : 0;
  }
  CHECK(count == 1);
}

TEST_CASE("a request that is not answered goes to another node")
{
  RowRequests requests;
  requests.OnVersions(
    Millis(1'000), Millis(1'000), kBackup, Versions(5, 5), Own(4, 5));
  requests.OnVersions(
    Millis(1'050), Millis(1'050), kRelay, Versions(5, 5), Own(4, 5));
  CHECK(requests.Next(Millis(1'100), Own(4, 5)) == kRelay);
  // Digests still come, but no answer.
  requests.OnVersions(
    Millis(1'500), Millis(1'500), kRelay, Versions(5, 5), Own(4, 5));
  CHECK(requests.Next(Millis(1'600), Own(4, 5)) == kBackup);
  CHECK(requests.Next(Millis(2'100), Own(4, 5)) == kRelay);
  // Nobody who has the changes has been heard of since.
  CHECK_FALSE(requests.Next(Millis(6'000), Own(4, 5)));
}

TEST_CASE("the rest of an answer in several parts is requested soon")
{
  RowRequests requests;
  requests.OnVersions(
    Millis(1'000), Millis(1'000), kRelay, Versions(5, 900), Own(5, 100));
  CHECK(requests.Next(Millis(1'100), Own(5, 100)) == kRelay);
  requests.OnAnswer(kRelay);
  requests.OnVersions(
    Millis(1'120), Millis(1'120), kRelay, Versions(5, 900), Own(5, 500));
  CHECK_FALSE(requests.Next(Millis(1'120), Own(5, 500)));
  CHECK(requests.Next(Millis(1'200), Own(5, 500)) == kRelay);
}

// Guards against 500 ms lost on asking a node that has ended, whose message a
// link had held back.
TEST_CASE("a node that has changes by a message of long ago is not asked")
{
  RowRequests requests;
  requests.OnVersions(
    Millis(9'000), Millis(4'000), kRelay, Versions(5, 5), Own(4, 5));
  CHECK(requests.BehindSince(Feed::Operator, Own(4, 5)) == Millis(9'000));
  CHECK_FALSE(requests.Next(Millis(9'100), Own(4, 5)));
  requests.OnVersions(
    Millis(9'150), Millis(9'140), kBackup, Versions(5, 5), Own(4, 5));
  CHECK(requests.Next(Millis(9'200), Own(4, 5)) == kBackup);
}

} // namespace
} // namespace briarglade
