"""Denial of the start of a keyed request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class StartDenied(NamedTuple):
    """No byte of the request may be sent; its key is settled as *ran*."""

    request_id: str
    code: ResultCode
    ran: Ran
    message: str
