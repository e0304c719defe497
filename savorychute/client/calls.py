"""The calls that a caller can make."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.endpoints.chat_documents import ChatMessage  # noqa: TC001


class ChatCall(NamedTuple):
    """A chat completion by a model.

    ``timeout_ms`` limits the call with all its attempts; calls of patient classes
    need a long one.  ``idempotent`` must match the contract's setting of the class.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    class_name: str
    max_tokens: int = 0
    idempotent: bool = True
    timeout_ms: int = 60_000


class ServiceCall(NamedTuple):
    """A call to a plain service; ``path`` starts with a slash."""

    service: str
    method: str
    path: str
    class_name: str
    body: bytes = b''
    content_type: str = 'application/json'
    idempotent: bool = True
    timeout_ms: int = 60_000
