// `briarglade check`, `render` and `diff`: work on fleet files alone.

#include <cstdio>

#include "briarglade/cli/commands.h"
#include "briarglade/cli/fleet_files.h"
#include "briarglade/cli/options.h"
#include "briarglade/config/fleet_diff.h"
#include "briarglade/config/fleet_json.h"

namespace briarglade {

namespace {

void PrintDeviation(const Deviation& aDeviation)
{
  const std::string base =
    aDeviation.m_baseValue.empty() ? "(default)" : aDeviation.m_baseValue;
  std::printf("%s:%d: %s: %s -> %s: %s\n",
              aDeviation.m_file.c_str(),
              aDeviation.m_line,
              aDeviation.m_key.c_str(),
              base.c_str(),
              aDeviation.m_siteValue.c_str(),
              aDeviation.m_reason.c_str());
}

// Prints what putting a configuration in force would change and restart,
// compared with the rendered one that --against names.
ExitCode PrintChanges(const Options& aOptions, const FleetConfig& aWanted)
{
  const Result<FleetConfig> present =
    LoadRenderedFleet(aOptions.GetText("--against"));
  if (const Error* error = GetError(present)) {
    std::fprintf(stderr, "briarglade: %s\n", error->m_detail.c_str());
    return ExitCode::Invalid;
  }
  for (const FleetChange& change :
       DiffFleets(std::get<FleetConfig>(present), aWanted)) {
    std::puts(change.ToString().c_str());
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode RunCheck(const Options& aOptions)
{
  const Result<FleetLoad> load = LoadFleetFiles(aOptions);
  if (!ReportFleetErrors(load)) {
    return ExitCode::Invalid;
  }
  const FleetConfig& config = std::get<FleetLoad>(load).m_config;
  std::printf("ok: %zu hosts, %zu models, %zu services, %zu accounts\n",
              config.m_hosts.size(),
              config.m_models.size(),
              config.m_services.size(),
              config.m_accounts.size());
  return ExitCode::Ok;
}

ExitCode RunRender(const Options& aOptions)
{
  const Result<FleetLoad> load = LoadFleetFiles(aOptions);
  if (!ReportFleetErrors(load)) {
    return ExitCode::Invalid;
  }
  std::puts(FleetToJson(std::get<FleetLoad>(load).m_config).c_str());
  return ExitCode::Ok;
}

ExitCode RunDiff(const Options& aOptions)
{
  const Result<FleetLoad> load = LoadFleetFiles(aOptions);
  if (!ReportFleetErrors(load)) {
    return ExitCode::Invalid;
  }
  if (!aOptions.GetText("--against").empty()) {
    return PrintChanges(aOptions, std::get<FleetLoad>(load).m_config);
  }
  for (const Deviation& deviation : std::get<FleetLoad>(load).m_deviations) {
    PrintDeviation(deviation);
  }
  return ExitCode::Ok;
}

} // namespace briarglade
