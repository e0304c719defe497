"""A report of settled keys from their issuer to a witness."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(54)
class KeysSettled(NamedTuple):
    """Keys whose request completed, and keys whose request did not run."""

    ran: tuple[str, ...]
    not_run: tuple[str, ...]
