"""Configuration for all tests."""

from __future__ import annotations

from eliot import add_destinations

import benches
import savorychute
from savorychute.testing.load_all import load_all


def discard(message):
    """Discard a log line that no test has requested."""
    del message


# Without a destination eliot buffers lines and passes them to the first destination
# that is added, so a test would see the lines of tests that ran before it.
add_destinations(discard)

# Hypothesis draws from the constants of all loaded modules.  If tests loaded modules,
# the examples would depend on which tests the same worker ran before.
load_all(savorychute)
load_all(benches)
