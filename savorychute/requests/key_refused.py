"""A key under which a request will not run here."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class KeyRefused(NamedTuple):
    """The final answer for this request, without a body.

    ``ran`` is ``NOT_RUN`` only if nobody will ever run this request under this
    key.  With ``UNKNOWN`` asking again with the same key is always safe.
    ``handle`` resumes the stream that the key may have started, or is empty.
    """

    request_id: str
    code: ResultCode
    ran: Ran
    message: str
    handle: str = ''
