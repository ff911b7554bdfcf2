// Checks a configuration as a whole: what each key says is allowed, but do the
// keys agree with each other?

#pragma once

namespace briarglade {

class FaultLog;
struct FleetDraft;

// Reports every contradiction, at the line of the key that has to change. A
// check is left out if a section that it reads has faults of its own.
void CheckFleet(const FleetDraft& aDraft, FaultLog& aFaults);

} // namespace briarglade
