"""The message from an instance to a home."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.group_report import GroupReport  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(30)
class CreditReport(NamedTuple):
    """All groups for which the receiver is the sender's home.

    ``epoch`` differs at each start of the sender, ``number`` counts its
    reports, so that old and reordered ones are told apart.
    """

    epoch: int
    number: int
    groups: tuple[GroupReport, ...]
