"""What holds for all tests."""

from __future__ import annotations

from eliot import add_destinations


def discard(message):
    """Drop a log line that no test asked for."""
    del message


# Without any destination eliot keeps lines and gives them to the first one that
# is added: a test would see those of tests that happened to run before it.
add_destinations(discard)
