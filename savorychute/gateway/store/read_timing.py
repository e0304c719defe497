"""How often a topic is read."""

from __future__ import annotations

from typing import NamedTuple


class ReadTiming(NamedTuple):
    """How long a read waits for updates, and the delay between two reads."""

    wait_ms: int
    delay_ms: int
