"""Message from an instance to the home of groups."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.group_report import GroupReport  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(30)
class CreditReport(NamedTuple):
    """Reports on the groups whose home is the receiver, in the sender's view.

    ``epoch`` changes each time the sender starts and ``number`` counts its reports, so
    that the receiver can ignore old and reordered ones.
    """

    epoch: int
    number: int
    groups: tuple[GroupReport, ...]
