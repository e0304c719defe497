"""A request that admission has given up."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.result_code import ResultCode


class ShedRequest(NamedTuple):
    """A waiting request that is answered 'not run' at once."""

    request_id: str
    code: ResultCode
    retry_after_ms: int
