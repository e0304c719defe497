"""How often a topic is read."""

from __future__ import annotations

from typing import NamedTuple


class Pace(NamedTuple):
    """``wait_ms`` is how long a read waits for news, ``pause_ms`` is between reads."""

    wait_ms: int
    pause_ms: int
