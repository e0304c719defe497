"""The part of a chat body that says from where an answer goes on."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class ContinueFromDocument(TypedDict):
    """The first ``offset`` tokens of an answer, as text."""

    offset: int
    text: str


class ContinuedDocument(TypedDict):
    """A chat body, as far as it concerns the continuation of an answer."""

    continue_from: NotRequired[ContinueFromDocument]
