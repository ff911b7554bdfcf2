// From file names to a FleetLoad.

#include "briarglade/cli/fleet_files.h"

#include <cstdio>
#include <utility>

#include "briarglade/cli/options.h"
#include "briarglade/config/fleet_json.h"

namespace briarglade {

Result<FleetLoad> LoadFleetFiles(const Options& aOptions)
{
  const Result<std::string> basePath = aOptions.GetRequired("--base");
  if (const Error* error = GetError(basePath)) {
    return *error;
  }
  FleetFile base{ std::get<std::string>(basePath), {} };
  Result<std::string> content = ReadFile(base.m_name);
  if (const Error* error = GetError(content)) {
    return *error;
  }
  base.m_text = std::get<std::string>(std::move(content));
  std::vector<FleetFile> overlays;
  for (const std::string& path : aOptions.GetList("--overlay")) {
    Result<std::string> overlay = ReadFile(path);
    if (const Error* error = GetError(overlay)) {
      return *error;
    }
    overlays.push_back(
      FleetFile{ path, std::get<std::string>(std::move(overlay)) });
  }
  return LoadFleet(base, overlays);
}

Result<FleetConfig> LoadRenderedFleet(const std::string& aPath)
{
  const Result<std::string> content = ReadFile(aPath);
  if (const Error* error = GetError(content)) {
    return *error;
  }
  Result<FleetConfig> fleet = FleetFromJson(std::get<std::string>(content));
  if (const Error* error = GetError(fleet)) {
    return Error{ error->m_code, aPath + ": " + error->m_detail };
  }
  return fleet;
}

bool ReportFleetErrors(const Result<FleetLoad>& aLoad)
{
  if (const Error* error = GetError(aLoad)) {
    std::fprintf(stderr, "briarglade: %s\n", error->m_detail.c_str());
    return false;
  }
  const FleetLoad& load = std::get<FleetLoad>(aLoad);
  for (const FleetError& error : load.m_errors) {
    std::fprintf(stderr, "%s\n", error.ToString().c_str());
  }
  return load.m_errors.empty();
}

} // namespace briarglade
