"""What the configuration states about the engines of a service."""

from __future__ import annotations

from typing import NamedTuple


class EngineProperties(NamedTuple):
    """Properties that all engines of a service share; 0 where one is not stated.

    ``kv_tokens`` is the memory of one engine, ``kv_bytes_per_token`` what moving a token
    of it transfers over a link of ``link_mbps``.  ``moves`` is true if a running request
    can go on at another engine with its memory, ``backups`` if its memory can be copied
    while it runs.  A copy that is not used is freed after ``handle_ms``.
    """

    tokens_per_event: float = 0.0
    kv_tokens: int = 0
    kv_bytes_per_token: float = 0.0
    link_mbps: float = 0.0
    handle_ms: int = 0
    moves: bool = False
    backups: bool = False
