// Processor time that a node spends on one new version of a configuration, on
// the thread of its loop: decoding an update of another node, comparing and
// caching the row, decoding its text, indexing the routes, and encoding an
// update to forward it.
//
//   build/release/config_cost
//
// Prints the size of the row, and the least and the median time of each part in
// milliseconds, over 21 runs for each number of routes.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/entry/node_news.h"
#include "briarglade/entry/row_cache.h"
#include "briarglade/gateway/route_index.h"
#include "platform/fleet.h"

namespace briarglade {
namespace {

constexpr int kRuns = 21;

std::string MakeConfig(int aRoutes, int aVersion)
{
  std::string text =
    "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[";
  for (int i = 0; i < aRoutes; ++i) {
    const std::string number = std::to_string(i);
    text += i == 0 ? "" : ",";
    text += "{\"name\":\"r";
    text += number;
    text += "\",\"host\":\"h";
    text += std::to_string(i % 50);
    text += ".example\",\"prefix\":\"/part/";
    text += number;
    text += "/\",\"service\":\"service-";
    text += std::to_string(i % 20);
    text += "\",\"kind\":\"idempotent\",\"timeout_ms\":10000,\"attempts\":2,"
            "\"priority\":1}";
  }
  return text + "]}";
}

NodeNews MakeUpdate(int aRoutes, int aVersion)
{
  StoredRow row;
  row.m_key = "config";
  row.m_version = RowVersion(static_cast<uint64_t>(aVersion));
  row.m_value = MakeConfig(aRoutes, aVersion);
  RowChanges changes;
  changes.m_after = RowVersion(static_cast<uint64_t>(aVersion - 1));
  changes.m_upTo = row.m_version;
  changes.m_rows = { std::move(row) };
  NodeNews update;
  update.m_node = NodeId("n1");
  update.m_rowChanges = { std::move(changes) };
  return update;
}

// Adds the time that a part takes to its measured times.
template<typename Part>
void Time(std::vector<double>& aTimes, const Part& aPart)
{
  const auto start = std::chrono::steady_clock::now();
  aPart();
  const std::chrono::duration<double, std::milli> time =
    std::chrono::steady_clock::now() - start;
  aTimes.push_back(time.count());
}

void Print(const char* aName, std::vector<double> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::printf(
    "  %-18s %8.2f %8.2f\n", aName, aTimes.front(), aTimes[aTimes.size() / 2]);
}

void Measure(int aRoutes)
{
  std::vector<double> encoding;
  std::vector<double> decoding;
  std::vector<double> comparing;
  std::vector<double> parsing;
  std::vector<double> indexing;
  RowCache cache;
  size_t bytes = 0;
  for (int run = 1; run <= kRuns; ++run) {
    const NodeNews update = MakeUpdate(aRoutes, run);
    std::string message;
    Time(encoding, [&] { message = EncodeNodeNews(update); });
    std::optional<NodeNews> received;
    Time(decoding, [&] { received = DecodeNodeNews(message); });
    std::vector<StoredRow> changed;
    Time(comparing,
         [&] { changed = cache.ApplyChanges(received->m_rowChanges.front()); });
    bytes = changed.front().m_value->size();
    Result<GatewayConfig> config = Error{};
    Time(parsing,
         [&] { config = platform::DecodeConfig(*changed.front().m_value); });
    RouteIndex index;
    Time(indexing, [&] {
      index = RouteIndex(std::get<GatewayConfig>(std::move(config)));
    });
  }
  std::printf("%d routes, %zu bytes\n", aRoutes, bytes);
  Print("encode update", encoding);
  Print("decode update", decoding);
  Print("compare, cache", comparing);
  Print("decode row", parsing);
  Print("index", indexing);
}

} // namespace
} // namespace briarglade

int main()
{
  std::printf("  %-18s %8s %8s\n", "", "least", "median");
  for (const int routes : { 250, 1'650, 20'000 }) {
    briarglade::Measure(routes);
  }
  return 0;
}
