"""A request that was lost with the run of an endpoint."""

from __future__ import annotations

from typing import NamedTuple

# A prompt may have any number of parts; a report names a selection of at most this many.
MAX_REPORTED_PARTS = 48


class LostRequest(NamedTuple):
    """The run that ended, and the traits of a request that it may have been running."""

    run: str
    request: int
    parts: tuple[int, ...]

    @property
    def traits(self) -> tuple[int, ...]:
        """All reported traits."""
        return (*self.parts, self.request)


def make_lost_request(run: str, request: int, parts: tuple[int, ...]) -> LostRequest:
    """Return a lost request with at most as many parts as a report may name.

    The selection differs between requests, so that each part is named by some of them.

    :param run: identifies the run of the endpoint.
    :param request: the trait of the request itself.
    :param parts: the traits of its parts.
    """
    if len(parts) > MAX_REPORTED_PARTS:
        selected = sorted(parts, key=lambda part: part ^ request)
        parts = tuple(selected[:MAX_REPORTED_PARTS])
    return LostRequest(run, request, parts)
