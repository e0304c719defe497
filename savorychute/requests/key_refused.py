"""Refusal of a request because of its key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class KeyRefused(NamedTuple):
    """The final response to this request, without a body.

    ``ran`` is ``NOT_RUN`` only if no instance will ever run this request under
    this key.  With ``UNKNOWN`` a retry with the same key is always safe.
    ``handle`` resumes the stream that the key may have started, or is empty.
    """

    request_id: str
    code: ResultCode
    ran: Ran
    message: str
    handle: str = ''
