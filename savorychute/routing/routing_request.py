"""What a router needs to know of a request."""

from __future__ import annotations

from typing import NamedTuple


class RoutingRequest(NamedTuple):
    """A request about to be started.

    ``prefix_hashes`` is a chain over the prompt's blocks, each hash covering
    all blocks before it.
    """

    request_id: str
    pool: str
    prompt_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    tier: int = 0
