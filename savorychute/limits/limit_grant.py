"""The message from an organisation's home to an instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.limits.share_grant import ShareGrant  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(41)
class LimitGrant(NamedTuple):
    """Shares that last from the report they answer.

    ``epoch`` and ``report_number`` name that report, ``home_epoch`` differs
    at each start of the home.  ``vetoers`` are members that see no majority of
    the members; a home that is one of them grants nothing.
    """

    home_epoch: int
    epoch: int
    report_number: int
    duration_ms: int
    floor_ms: int
    shares: tuple[ShareGrant, ...]
    vetoers: tuple[str, ...] = ()
