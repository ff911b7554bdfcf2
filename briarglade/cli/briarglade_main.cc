// The entry point of the one binary.

#include <docopt/docopt.h>
#include <string>
#include <vector>

#include "briarglade/cli/commands.h"
#include "briarglade/cli/options.h"

namespace briarglade {
namespace {

constexpr char kVersion[] = "briarglade 0.1.0";

constexpr char kUsage[] =
  R"(briarglade: serves models whose replicas span several hosts.

Usage:
  briarglade serve
  briarglade node [--id=ID] [--cluster=NAME] [--region=NAME] [--zone=NAME]
      [--caller-address=A] [--operator-address=A] [--peer-address=A]
      [--table=A] [--host-list=A] [--cluster-key-file=F]
      [--operator-key-file=F] [--log-level=L] [--address-lifetime-ms=N]
      [--shutdown-limit-ms=N] [--seed=A]...
  briarglade check [--base=F] [--overlay=F]...
  briarglade render [--base=F] [--overlay=F]...
  briarglade diff [--base=F] [--overlay=F]... [--against=F]
  briarglade apply [--base=F] [--overlay=F]... [--node=A]
      [--operator-key-file=F] [--who=NAME] [--why=TEXT]
  briarglade zone (out|in) <zone> [--node=A] [--operator-key-file=F]
      [--who=NAME] [--why=TEXT]
  briarglade status [--history] [--node=A] [--operator-key-file=F]
  briarglade explain <subject> [--node=A] [--operator-key-file=F]
  briarglade (-h | --help)
  briarglade --version

"serve" runs an entry node on the users' platform: its settings are the file that the
platform lays, and it takes no flags.

Every flag has an environment variable: --host-list is BRIARGLADE_HOST_LIST. The
flag goes first. An address A is IP:PORT. Secrets come from a file, or from
BRIARGLADE_CLUSTER_KEY and BRIARGLADE_OPERATOR_KEY; never from a flag.

Options:
  --id=ID                   Name of this node in the roster.
  --cluster=NAME            Name of the cluster.
  --region=NAME             Region of this node.
  --zone=NAME               Availability zone of this node.
  --caller-address=A        Listener for callers (127.0.0.1:0: any port).
  --operator-address=A      Listener for operators.
  --peer-address=A          Listener for the other nodes.
  --table=A                 The platform's table service.
  --host-list=A             The platform's host list.
  --cluster-key-file=F      File with the key that nodes share.
  --operator-key-file=F     File with the operators' key.
  --log-level=L             debug, info, warn or error.
  --address-lifetime-ms=N   How long callers may keep the address answer.
  --shutdown-limit-ms=N     The longest time of a graceful shutdown.
  --seed=A                  Peer address of another node; may be repeated.
  --base=F                  Fleet file of the whole fleet.
  --overlay=F               Fleet file of a site; may be repeated.
  --against=F               Rendered fleet to compare with.
  --node=A                  Operator address of any node.
  --history                 Print only the changes: when, what, who, why.
  --who=NAME                Who makes the change.
  --why=TEXT                Why; kept for the board.

Exit codes: 0 done or accepted; 1 failed; 2 wrong command line or fleet files,
nothing written; 3 recorded, not confirmed yet; 4 refused or raced.
)";

ExitCode Run(const Options& aOptions)
{
  if (aOptions.Has("serve")) {
    return RunServe();
  }
  if (aOptions.Has("node")) {
    return RunNode(aOptions);
  }
  if (aOptions.Has("check")) {
    return RunCheck(aOptions);
  }
  if (aOptions.Has("render")) {
    return RunRender(aOptions);
  }
  if (aOptions.Has("diff")) {
    return RunDiff(aOptions);
  }
  if (aOptions.Has("apply")) {
    return RunApply(aOptions);
  }
  if (aOptions.Has("zone")) {
    return RunZone(aOptions);
  }
  if (aOptions.Has("status")) {
    return RunStatus(aOptions);
  }
  return RunExplain(aOptions);
}

} // namespace
} // namespace briarglade

int main(int aCount, char** aValues)
{
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(briarglade::kUsage, words, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::fputs(briarglade::kUsage, stdout);
    return static_cast<int>(briarglade::ExitCode::Ok);
  } catch (const docopt::DocoptExitVersion&) {
    std::puts(briarglade::kVersion);
    return static_cast<int>(briarglade::ExitCode::Ok);
  } catch (const std::runtime_error& error) {
    std::fprintf(
      stderr, "briarglade: %s (see briarglade --help)\n", error.what());
    return static_cast<int>(briarglade::ExitCode::Invalid);
  }
  return static_cast<int>(briarglade::Run(briarglade::Options(arguments)));
}
