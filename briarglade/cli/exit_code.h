// The exit codes of the command line, documented in docs/OPERATORS.md.

#pragma once

namespace briarglade {

enum class ExitCode : int
{
  // The command did what it says; a change is accepted.
  Ok = 0,
  // The command failed for a reason that it printed.
  Failed = 1,
  // The command line or the fleet files are wrong; nothing was written.
  Invalid = 2,
  // The change is recorded or held, and not confirmed everywhere yet.
  NotConfirmed = 3,
  // The change was refused, or raced by another one; nothing was written.
  Refused = 4
};

} // namespace briarglade
