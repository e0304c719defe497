"""A request to a stand-in engine."""

from __future__ import annotations

from typing import NamedTuple


class EngineRequest(NamedTuple):
    """One attempt; a lower ``priority`` number runs first.

    With ``continue_text`` the answer continues after that text, whose token
    count is ``continue_offset``.
    """

    attempt_id: str
    stream_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    keep_on_close: bool = False
    continue_offset: int = 0
    continue_text: str = ''
