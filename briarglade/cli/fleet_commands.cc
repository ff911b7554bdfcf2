// `briarglade check`, `render` and `diff`: work on fleet files alone.

#include <cstdio>

#include "briarglade/cli/commands.h"
#include "briarglade/cli/fleet_files.h"
#include "briarglade/cli/options.h"
#include "briarglade/config/fleet_json.h"

namespace briarglade {

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
  for (const Deviation& deviation : std::get<FleetLoad>(load).m_deviations) {
    std::printf("%s:%d: %s: %s -> %s (%s)\n",
                deviation.m_file.c_str(),
                deviation.m_line,
                deviation.m_key.c_str(),
                deviation.m_baseValue.c_str(),
                deviation.m_siteValue.c_str(),
                deviation.m_reason.c_str());
  }
  return ExitCode::Ok;
}

} // namespace briarglade
