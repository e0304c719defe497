"""The failure of an HTTP call."""

from __future__ import annotations

from typing import NamedTuple


class CallFailure(NamedTuple):
    """A call that ended without a complete response.

    ``sent`` is false only if no byte of the request was passed to the network.
    ``broken`` is true if the connection broke after that.
    """

    sent: bool
    broken: bool
    reason: str
