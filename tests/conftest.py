"""What holds for all tests."""

from __future__ import annotations

from eliot import add_destinations

import benches
import savorychute
from savorychute.testing.load_all import load_all


def discard(message):
    """Drop a log line that no test asked for."""
    del message


# Without any destination eliot keeps lines and gives them to the first one that
# is added: a test would see those of tests that happened to run before it.
add_destinations(discard)

# Hypothesis draws from the constants of all modules that are loaded.  If a test loaded
# some, the examples of a law would depend on which tests the same worker ran before.
load_all(savorychute)
load_all(benches)
