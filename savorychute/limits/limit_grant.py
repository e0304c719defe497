"""Message from an organisation's home to another instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.limits.share_grant import ShareGrant  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(41)
class LimitGrant(NamedTuple):
    """Granted shares, whose validity starts at the report they respond to.

    ``epoch`` and ``report_number`` identify that report; ``home_epoch`` changes each
    time the home starts.  ``vetoers`` are members that do not see a majority of the
    members; a home that is one of them grants nothing.
    """

    home_epoch: int
    epoch: int
    report_number: int
    duration_ms: int
    floor_ms: int
    shares: tuple[ShareGrant, ...]
    vetoers: tuple[str, ...] = ()
