"""What one instance tells of the requests that endpoints began for it."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


class OrganisationCount(NamedTuple):
    """Requests of an organisation."""

    organisation: str
    requests: int


class WindowCounts(NamedTuple):
    """Requests that began in a window."""

    window: int
    counts: tuple[OrganisationCount, ...]


@peer_message(93)
class UsageTold(NamedTuple):
    """All counts of some windows so far; a later message replaces an earlier one.

    ``run`` is the sender's incarnation: an instance that starts again counts anew, and what
    it told before still holds.  Until ``whole_until_ms`` of true time nothing is missing.
    """

    run: int
    whole_until_ms: int
    windows: tuple[WindowCounts, ...]
