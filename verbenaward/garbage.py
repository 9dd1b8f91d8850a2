"""Garbage collection of a process while it starts.

Load: all processes of a deployment that start at the same moment, as after a loss of power, on VMs
whose processors do nothing else meanwhile. What modules create while they are imported stays for
good. The collector would go through all of it again and again, which is a tenth of the processor
time that a start takes, and later once more in each full collection.
"""

import gc


def hold_collection() -> None:
    """Collect nothing while modules are imported; called before that."""
    gc.disable()


def begin_collection() -> None:
    """Collect what is created from now on; called once all modules are imported."""
    gc.freeze()
    gc.enable()
