"""The outcome of offering a request to admission."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.admission.shed_request import ShedRequest
    from savorychute.result_code import ResultCode


class OfferOutcome(NamedTuple):
    """Whether a request was admitted, and which requests were shed for it.

    For a refused request, ``code`` is the reason and ``retry_after_ms`` the
    time after which its caller may retry.
    """

    admitted: bool
    code: ResultCode | None = None
    retry_after_ms: int = 0
    shed: tuple[ShedRequest, ...] = ()
