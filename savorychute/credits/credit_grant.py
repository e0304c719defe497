"""Message from the home of groups to another instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.group_grant import GroupGrant  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(31)
class CreditGrant(NamedTuple):
    """Granted levels, valid for ``duration_ms`` from the report they respond to.

    ``epoch`` and ``report_number`` identify that report; ``home_epoch`` changes each
    time the home starts.
    """

    home_epoch: int
    epoch: int
    report_number: int
    duration_ms: int
    groups: tuple[GroupGrant, ...]
