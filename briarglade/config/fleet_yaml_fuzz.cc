// Fuzz target: fleet files. The input is a base and overlays, separated by
// lines of "%%".

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "briarglade/config/fleet_diff.h"
#include "briarglade/config/fleet_json.h"
#include "briarglade/config/fleet_yaml.h"

namespace briarglade {
namespace {

constexpr char kSeparator[] = "%%\n";

std::vector<FleetFile> Split(const std::string& aInput)
{
  std::vector<FleetFile> files;
  size_t begin = 0;
  while (begin != std::string::npos) {
    const size_t end = aInput.find(kSeparator, begin);
    files.push_back(FleetFile{ "file" + std::to_string(files.size()),
                               aInput.substr(begin, end - begin) });
    begin = end == std::string::npos ? end : end + sizeof(kSeparator) - 1;
  }
  return files;
}

void Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

// What must hold for any input: every fault names its file and says something,
// and a configuration without faults survives the way to JSON and back.
void CheckLoad(const FleetLoad& aLoad)
{
  for (const FleetError& error : aLoad.m_errors) {
    Require(!error.m_file.empty() && !error.m_message.empty());
    Require(error.m_line >= 0);
  }
  if (!aLoad.m_errors.empty()) {
    return;
  }
  const std::string text = FleetToJson(aLoad.m_config);
  const Result<FleetConfig> again = FleetFromJson(text);
  Require(GetError(again) == nullptr);
  Require(FleetToJson(std::get<FleetConfig>(again)) == text);
  Require(DiffFleets(aLoad.m_config, std::get<FleetConfig>(again)).empty());
}

} // namespace
} // namespace briarglade

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace briarglade;
  std::vector<FleetFile> files =
    Split(std::string(reinterpret_cast<const char*>(aData), aSize));
  const FleetFile base = files.front();
  files.erase(files.begin());
  CheckLoad(LoadFleet(base, files));
  return 0;
}
