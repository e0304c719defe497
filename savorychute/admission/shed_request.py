"""A request that admission has shed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.result_code import ResultCode


class ShedRequest(NamedTuple):
    """A waiting request whose caller is told at once that it was not run."""

    request_id: str
    code: ResultCode
    retry_after_ms: int
