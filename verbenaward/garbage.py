"""Garbage collection of a process while it starts.

Load: all processes of a deployment that start at the same moment, as after a loss of power, on VMs
whose processors do nothing else meanwhile. What modules create while they are imported stays for
good. The collector would examine all of it again and again during the start, and later once more in
each full collection.
"""

import gc

USUAL_THRESHOLDS = gc.get_threshold()
OBJECTS_OF_IMPORTS = 20_000
"""New objects after which the youngest are collected while modules are imported. Without any
collection the garbage of imports would count in the peak of the memory."""


def hold_collection() -> None:
    """Collect little while modules are imported; called before that."""
    gc.set_threshold(OBJECTS_OF_IMPORTS, *USUAL_THRESHOLDS[1:])


def begin_collection() -> None:
    """Collect what is created from now on; called once all modules are imported."""
    gc.freeze()
    gc.set_threshold(*USUAL_THRESHOLDS)
