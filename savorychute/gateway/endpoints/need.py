"""What a request needs of its endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.requests.prompt import Prompt


class Need(NamedTuple):
    """The prompt to read, and the longest pause between events that is on time.

    ``prompt`` is None for a plain service, ``gap_target_ms`` 0 for no such bound.
    """

    prompt: Prompt | None = None
    gap_target_ms: int = 0
