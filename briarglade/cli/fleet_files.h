// Reads the fleet files that a command line names.

#pragma once

#include <string>

#include "briarglade/base/result.h"
#include "briarglade/config/fleet_yaml.h"

namespace briarglade {

class Options;

// Loads --base and each --overlay. Returns an error if a file can't be read.
Result<FleetLoad> LoadFleetFiles(const Options& aOptions);

// Loads a configuration that `briarglade render` has printed. Returns an error
// that names the file if it can't be read or isn't one.
Result<FleetConfig> LoadRenderedFleet(const std::string& aPath);

// Prints every fault on standard error. Returns whether there was none.
bool ReportFleetErrors(const Result<FleetLoad>& aLoad);

} // namespace briarglade
