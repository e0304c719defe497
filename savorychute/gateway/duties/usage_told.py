"""The message with one instance's usage counts."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


class OrganisationCount(NamedTuple):
    """The number of requests of an organisation."""

    organisation: str
    requests: int


class WindowCounts(NamedTuple):
    """The requests that started in a window."""

    window: int
    counts: tuple[OrganisationCount, ...]


@peer_message(93)
class UsageTold(NamedTuple):
    """All counts of some windows so far; a later message replaces an earlier one.

    ``run`` is the incarnation of the sender: a restarted instance counts from zero, and
    the counts of its earlier runs remain valid. The counts are complete up to
    ``whole_until_ms`` of true time.
    """

    run: int
    whole_until_ms: int
    windows: tuple[WindowCounts, ...]
