"""What an instance that has started asks the others."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(94)
class CrashQuestion(NamedTuple):
    """Asks which requests have crashed endpoints lately."""
