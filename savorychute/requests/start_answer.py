"""The response of a witness to a start notice."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(51)
class StartAnswer(NamedTuple):
    """Whether the witness recorded the start, and if not, the reason.

    A start is refused if the key was revoked, if another incarnation is the witness
    or if the table of the witness is full.
    """

    key: str
    accepted: bool
    reason: str
