"""An attempt that failed."""

from __future__ import annotations

from typing import NamedTuple


class AttemptFailed(NamedTuple):
    """The attempt has ended without a complete response.

    ``sent`` is false only if no byte of the request left this host.
    ``refused`` is true if the endpoint proved that it did not start the
    request: status 429 or 503 with the header ``x-not-started``.  ``leaving``
    is true if the refusal says that the endpoint is leaving, and ``paused`` if
    it says that the stream was paused and not interrupted.  ``crashed`` is true
    if the connection broke after the request was sent.
    """

    attempt_id: str
    sent: bool
    refused: bool
    leaving: bool
    crashed: bool
    reason: str
    paused: bool = False
