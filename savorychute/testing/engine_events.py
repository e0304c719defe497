"""Events that a stand-in engine emits."""

from __future__ import annotations

from typing import NamedTuple


class StreamAccepted(NamedTuple):
    """The engine accepted an attempt."""

    attempt_id: str
    stream_id: str


class StreamRefused(NamedTuple):
    """The engine refused an attempt and states that it did not run."""

    attempt_id: str
    status: int
    leaving: bool
    reason: str
    paused: bool = False


class StreamTokens(NamedTuple):
    """Tokens ``offset`` to ``offset + token_count`` of an answer."""

    attempt_id: str
    stream_id: str
    offset: int
    token_count: int
    text: str


class StreamEnded(NamedTuple):
    """The answer is complete."""

    attempt_id: str
    stream_id: str
    prompt_tokens: int
    total_tokens: int


class StreamBroken(NamedTuple):
    """The connection of an attempt broke by a crash, a cancellation or a takeover."""

    attempt_id: str
    stream_id: str
    reason: str


EngineEvent = StreamAccepted | StreamRefused | StreamTokens | StreamEnded | StreamBroken
