"""A keyed request that must not be sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class StartDenied(NamedTuple):
    """No byte may leave; the key is settled as *ran* says."""

    request_id: str
    code: ResultCode
    ran: Ran
    message: str
