// Reads the fleet files that a command line names.

#pragma once

#include "briarglade/base/result.h"
#include "briarglade/config/fleet_yaml.h"

namespace briarglade {

class Options;

// Loads --base and each --overlay. Returns an error if a file can't be read.
Result<FleetLoad> LoadFleetFiles(const Options& aOptions);

// Prints every fault on standard error. Returns whether there was none.
bool ReportFleetErrors(const Result<FleetLoad>& aLoad);

} // namespace briarglade
