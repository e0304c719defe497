"""The attributes of a request that routers use."""

from __future__ import annotations

from typing import NamedTuple


class RoutingRequest(NamedTuple):
    """A request to be started.

    ``prefix_hashes`` is a hash chain over the blocks of the prompt; each hash
    covers all blocks before it.
    """

    request_id: str
    pool: str
    prompt_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    tier: int = 0
