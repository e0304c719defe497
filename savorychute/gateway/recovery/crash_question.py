"""The message by which a started instance requests recent crashes from others."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(94)
class CrashQuestion(NamedTuple):
    """Requests the crashes that another instance knows of."""
