// Expands the compact way of writing many hosts: a range in the name, and one
// in the address that counts along with it.
//
//   hosts:
//     perth-a-1-[01-08]:
//       zone: perth-a
//       domain: perth-a-1
//       address: 10.20.1.[11-18]:7000

#pragma once

namespace briarglade {

struct ConfigNode;
class FaultLog;

// Replaces each range under "hosts" by its hosts. Reports malformed ranges,
// ranges of different lengths and hosts that two entries give.
void ExpandHostRanges(ConfigNode& aRoot, FaultLog& aFaults);

} // namespace briarglade
