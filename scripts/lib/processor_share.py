"""Lets processes have the processor only for a share of the time, as a quota does: each is
stopped and goes on in turns, from outside, at a phase of its own."""

import random
import signal
import threading
import time


class ProcessorShare:
    """Enforces a share on nodes until it is left: run_ms of each period_ms. `nodes` have
    signal() and is_running(); a node that was started again is held to it, too."""

    def __init__(self, nodes, seed, run_ms=25, period_ms=100):
        self._run_s, self._rest_s = run_ms / 1000, (period_ms - run_ms) / 1000
        self._has_ended = threading.Event()
        chance = random.Random(f"{seed} share")
        self._threads = [
            threading.Thread(target=self._enforce, daemon=True,
                             args=(node, chance.uniform(0, period_ms / 1000)))
            for node in nodes]

    def _enforce(self, node, phase_s):
        time.sleep(phase_s)
        while not self._has_ended.is_set():
            self._pause(node)
            time.sleep(self._run_s)

    def _pause(self, node):
        if not node.is_running():
            return
        try:
            node.signal(signal.SIGSTOP)
            time.sleep(self._rest_s)
        finally:
            if node.is_running():
                node.signal(signal.SIGCONT)

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._has_ended.set()
        for thread in self._threads:
            thread.join()
