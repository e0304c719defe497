"""What a caller can ask for."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.endpoints.chat_documents import ChatMessage  # noqa: TC001


class ChatCall(NamedTuple):
    """A question to a model.

    ``timeout_ms`` bounds the call with all its tries; a patient call has a
    long one.  ``idempotent`` says what the contract says of the class.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    class_name: str
    max_tokens: int = 0
    idempotent: bool = True
    timeout_ms: int = 60_000


class ServiceCall(NamedTuple):
    """A call to a plain service; ``path`` begins with a slash."""

    service: str
    method: str
    path: str
    class_name: str
    body: bytes = b''
    content_type: str = 'application/json'
    idempotent: bool = True
    timeout_ms: int = 60_000
