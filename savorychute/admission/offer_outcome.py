"""What became of an offered request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.admission.shed_request import ShedRequest
    from savorychute.result_code import ResultCode


class OfferOutcome(NamedTuple):
    """Whether a request waits now, and who had to make room for it.

    ``code`` and ``retry_after_ms`` say why and for how long it was refused.
    """

    admitted: bool
    code: ResultCode | None = None
    retry_after_ms: int = 0
    shed: tuple[ShedRequest, ...] = ()
