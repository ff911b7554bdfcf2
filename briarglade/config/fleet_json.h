// The canonical JSON form of a FleetConfig, as the table service stores it.
//
// Example:
//   std::string text = FleetToJson(config);
//   Result<FleetConfig> again = FleetFromJson(text);  // equal to config

#pragma once

#include <string>

#include "briarglade/base/result.h"

namespace briarglade {

struct FleetConfig;

// Returns the canonical JSON text: equal configurations give equal text.
std::string FleetToJson(const FleetConfig& aConfig);

// Parses the canonical form. Returns ConfigInvalid with the path of the first
// fault if the text isn't one that FleetToJson could have written.
Result<FleetConfig> FleetFromJson(const std::string& aText);

} // namespace briarglade
