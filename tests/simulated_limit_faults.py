"""Faults in series that overlap, while entry processes send to a backend that names a limit.

The long run is made by hand: `python -m tests.simulated_limit_faults --seeds 50`.
"""

import argparse
import math
import random

from tests.simulated_entries import CUT_OFF
from tests.simulated_limits import SimulatedLimits
from verbenaward.logs import configure_logs

FAULT_SECONDS = 30.0
"""Time in which faults begin."""
RECOVERY_SECONDS = 3.0
"""Time after a fault for which its process is not counted."""
LIMITS = (0.0, 0.5, 1.0, 3.0, 10.0, 40.0)


class FaultyLimits:
    """One run: processes, a backend with a limit, and faults drawn from a seed.

    Attributes:
      simulation: The processes and the backend.
      limit: Limit of the backend.
      excused: Process, begin and end of each time in which a process is not counted.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        count = self.rng.choice((3, 8, 12, 20))
        self.limit = self.rng.choice(LIMITS)
        self.simulation = SimulatedLimits(count, math.inf, 3 * self.limit + 20, seed)
        self.network = self.simulation.network
        self.network.rng = random.Random(seed)
        self.excused = []

    def run(self):
        """Play the run."""
        self.network.run_until(6.0)
        self.simulation.limit = self.limit
        self.network.loss_share = self.rng.choice((0.0, 0.02, 0.1))
        self.network.run_until(10.0)
        faults_end = self.network.now + FAULT_SECONDS
        while self.network.now < faults_end:
            self.begin_fault()
            self.network.run_until(self.network.now + self.rng.uniform(0.1, 3.0))
        self.network.run_until(self.network.now + 10.0)

    def begin_fault(self):
        """Begin a fault of a process that has none; faults of several processes overlap."""
        entries = self.network.entries
        sound = [index for index, entry in enumerate(entries) if not entry.fault]
        if len(sound) < 2:
            return
        index = self.rng.choice(sound)
        seconds = self.rng.uniform(0.2, 6.0)
        now = self.network.now
        self.excused.append((index, now, now + seconds + RECOVERY_SECONDS))
        entries[index].fault = CUT_OFF
        end = self.rng.choice((self.restart, self.reconnect))
        self.network.after(seconds, lambda: end(index))

    def restart(self, index):
        """End a fault by a restart."""
        self.simulation.restart(index)

    def reconnect(self, index):
        """End a fault; the process has run all the while."""
        self.network.entries[index].fault = ""


def main():
    """Run seeds by hand and print each one."""
    from tests.steps.backend_limits import NOTICE_SECONDS, allowed_requests, most_in_a_window

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    arguments = parser.parse_args()
    configure_logs("critical")
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        faulty = FaultyLimits(seed)
        faulty.run()
        most = most_in_a_window(faulty.simulation.counted(faulty.excused, NOTICE_SECONDS))
        allowed = allowed_requests(faulty.limit)
        verdict = "kept" if most <= allowed else "BROKEN"
        count, faults = len(faulty.network.entries), len(faulty.excused)
        print(
            f"seed {seed}: {verdict}, {most:g} of {allowed:g} in 4 s; limit {faulty.limit:g}, "
            f"{count} processes, {faults} faults, loss {faulty.network.loss_share:g}",
            flush=True,
        )


if __name__ == "__main__":
    main()
