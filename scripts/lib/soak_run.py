"""What the soaks of whole processes share: seeds, the logs of failed runs, and the exit code."""

import argparse
import os
import shutil
import signal
import sys


def make_parser(text):
    """Returns a parser with the options of every soak."""
    parser = argparse.ArgumentParser(description=text)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--program")
    parser.add_argument("--logs")
    return parser


def finish(cluster, options, seed, is_good):
    """Removes the logs of a run, or keeps those of a failed one. Returns is_good."""
    if options.logs and not is_good:
        shutil.copytree(cluster.directory, os.path.join(options.logs, f"seed-{seed}"),
                        dirs_exist_ok=True)
    shutil.rmtree(cluster.directory, ignore_errors=True)
    return is_good


def play_seeds(options, play):
    """Plays each seed, "1,2,..." or "1-9"; play(options, seed) returns whether all rules
    held. Returns the exit code."""
    first, _, last = options.seeds.partition("-")
    seeds = (range(int(first), int(last) + 1) if last
             else [int(seed) for seed in options.seeds.split(",")])
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended by a signal"))
    failed = [seed for seed in seeds if not play(options, seed)]
    print(f"{len(seeds)} seeds, failed on {len(failed)}: {failed}")
    return 1 if failed else 0
