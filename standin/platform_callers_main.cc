// The callers of the users' platform as a program: prints the counts as one
// JSON line. Exits with 1 if any answer was wrong.

#include <cstdio>
#include <docopt/docopt.h>
#include <string>
#include <vector>

#include "briarglade/base/parse_endpoint.h"
#include "briarglade/net/event_loop.h"
#include "standin/platform_callers.h"
#include "standin/standin_role.h"

namespace briarglade::standin {
namespace {

constexpr char kUsage[] =
  R"(briarglade-callers: callers that go by the directory.

Usage:
  briarglade-callers <directory>... [--key K] [--streams N] [--calls N]
      [--events N] [--duration-ms N] [--patience-ms N]
  briarglade-callers --help

Options:
  --key K          The account's key [default: demo-key].
  --streams N      Streams at once [default: 8].
  --calls N        Calls at once [default: 4].
  --events N       Events of each stream [default: 20].
  --duration-ms N  No request begins after so long [default: 2000].
  --patience-ms N  Time allowed for each request [default: 4000].
)";

int Run(const Arguments& aArguments)
{
  PlatformCallersOptions options;
  for (const std::string& text : aArguments.at("<directory>").asStringList()) {
    const Result<Endpoint> address = ParseEndpoint(text);
    if (const Error* error = GetError(address)) {
      std::fprintf(stderr, "%s\n", error->m_detail.c_str());
      return 2;
    }
    options.m_directories.push_back(std::get<Endpoint>(address));
  }
  options.m_key = aArguments.at("--key").asString();
  options.m_models = { "large", "small" };
  options.m_streams = Number(aArguments, "--streams");
  options.m_calls = Number(aArguments, "--calls");
  options.m_events = Number(aArguments, "--events");
  options.m_duration = Time(aArguments, "--duration-ms");
  options.m_patience = Time(aArguments, "--patience-ms");
  EventLoop loop;
  PlatformCallers callers(loop, options);
  callers.Begin();
  loop.Run();
  const nlohmann::json report = callers.Report();
  std::puts(report.dump().c_str());
  return report["wrong"] == 0 ? 0 : 1;
}

} // namespace
} // namespace briarglade::standin

int main(int aCount, char** aValues)
{
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  return briarglade::standin::Run(
    docopt::docopt(briarglade::standin::kUsage, words, true, ""));
}
