"""Message from an instance to an organisation's home."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.limits.share_report import ShareReport  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(40)
class LimitReport(NamedTuple):
    """Reports on the organisations whose home is the receiver, in the sender's view.

    ``epoch`` changes each time the sender starts; ``number`` counts its reports.
    ``vetoers`` are members that do not see a majority of the members.  ``lost`` are
    members that the sender recently lost, the last of them ``loss_age_ms`` ago (-1:
    never).
    """

    epoch: int
    number: int
    shares: tuple[ShareReport, ...]
    vetoers: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    loss_age_ms: int = -1
