"""An issuer's news of keys that are done with."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(54)
class KeysSettled(NamedTuple):
    """Keys that ran to their end, and keys that were certainly not run."""

    ran: tuple[str, ...]
    not_run: tuple[str, ...]
