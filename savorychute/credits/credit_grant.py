"""The message from a home to an instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.group_grant import GroupGrant  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(31)
class CreditGrant(NamedTuple):
    """Levels that last ``duration_ms`` from the report they answer.

    ``epoch`` and ``report_number`` name that report, ``home_epoch`` differs
    at each start of the home.
    """

    home_epoch: int
    epoch: int
    report_number: int
    duration_ms: int
    groups: tuple[GroupGrant, ...]
