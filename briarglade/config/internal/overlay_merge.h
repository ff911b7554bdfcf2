// Applies site overlays to the tree of the base file.
//
//   set:
//     - path: models.drafting.wanted_groups
//       value: 6
//       reason: "Two hosts are on loan to the tender office until March."

#pragma once

#include <vector>

#include "briarglade/config/fleet_yaml.h"

namespace briarglade {

struct ConfigNode;
class FaultLog;

// Sets what the overlays say in the base's tree and returns one deviation for
// each entry. A value of one path is set by one overlay entry at most, so the
// order of overlays doesn't matter. Reports entries without a reason and paths
// that the base lacks.
std::vector<Deviation> ApplyOverlays(const std::vector<ConfigNode>& aOverlays,
                                     ConfigNode& aBase,
                                     FaultLog& aFaults);

} // namespace briarglade
