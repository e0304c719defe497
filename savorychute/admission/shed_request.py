"""A request that admission has shed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.result_code import ResultCode


class ShedRequest(NamedTuple):
    """A waiting request that is refused immediately, without having run."""

    request_id: str
    code: ResultCode
    retry_after_ms: int
