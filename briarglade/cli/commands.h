// The subcommands of the one binary.

#pragma once

#include "briarglade/cli/exit_code.h"

namespace briarglade {

class Options;

// Runs a node until it has shut down.
ExitCode RunNode(const Options& aOptions);

// Runs an entry node on the users' platform until it has shut down. Its
// settings come from the file that the platform lays.
ExitCode RunServe();

// Checks, renders and compares fleet files.
ExitCode RunCheck(const Options& aOptions);
ExitCode RunRender(const Options& aOptions);
ExitCode RunDiff(const Options& aOptions);

// Calls a node's operator listener.
ExitCode RunApply(const Options& aOptions);
ExitCode RunZone(const Options& aOptions);
ExitCode RunStatus(const Options& aOptions);
ExitCode RunExplain(const Options& aOptions);

} // namespace briarglade
