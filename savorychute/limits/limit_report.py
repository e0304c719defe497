"""The message from an instance to an organisation's home."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.limits.share_report import ShareReport  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(40)
class LimitReport(NamedTuple):
    """Organisations for whom the receiver is the home, as the sender sees it.

    ``epoch`` differs at each start of the sender, ``number`` counts its
    reports.  ``vetoers`` are members that see no majority of the members,
    ``lost`` members that the sender has lost lately, the last one
    ``loss_age_ms`` ago (-1: never).
    """

    epoch: int
    number: int
    shares: tuple[ShareReport, ...]
    vetoers: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    loss_age_ms: int = -1
