"""The fields of OpenAI-style documents that an instance reads."""

from __future__ import annotations

from typing import NotRequired, TypedDict

import msgspec  # noqa: TC002


class ChatMessage(TypedDict):
    """One message; other fields are passed through unread."""

    role: str
    content: NotRequired[str | list[msgspec.Raw] | None]


class ChatRequest(TypedDict):
    """A caller's request; other fields are passed through unread."""

    model: str
    messages: list[ChatMessage]
    stream: NotRequired[bool]
    max_tokens: NotRequired[int | None]


class ChatUsage(TypedDict):
    """Token counts of a complete answer."""

    prompt_tokens: NotRequired[int]
    completion_tokens: NotRequired[int]


class ChatCompletion(TypedDict):
    """A complete answer; the choices are passed through unread."""

    usage: NotRequired[ChatUsage | None]


class ChatDelta(TypedDict):
    """The text added by an event."""

    content: NotRequired[str | None]


class ChatChoice(TypedDict):
    """One choice of a streamed answer."""

    delta: NotRequired[ChatDelta]


class ChatChunk(TypedDict):
    """One event of a streamed answer."""

    choices: NotRequired[list[ChatChoice]]
    token_count: NotRequired[int]


class LoadDocument(TypedDict):
    """An engine's load report."""

    age_ms: int
    running: int
    waiting: int
    kv_free_share: float
    step_ms: float
    models: list[str]
    state: str
    cache_sequence: int
    cached: NotRequired[list[int]]
    evicted: NotRequired[list[int]]
    cache_gap: NotRequired[bool]


class OrderDocument(TypedDict):
    """An order's outcome."""

    outcome: str
