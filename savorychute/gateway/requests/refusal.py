"""An error response that the gateway itself generates."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class Refusal(NamedTuple):
    """Why a request gets no response of an endpoint, and whether it ran.

    ``traits`` are those of the verdict on a request that crashes endpoints.
    """

    code: ResultCode
    ran: Ran
    reason: str
    retry_after_ms: int = 0
    traits: tuple[int, ...] = ()
