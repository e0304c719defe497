"""The part of a chat body that says where a response continues."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class ContinueFromDocument(TypedDict):
    """The first ``offset`` tokens of a response, as text."""

    offset: int
    text: str


class ContinuationBody(TypedDict):
    """A chat body, reduced to the field that continues a response."""

    continue_from: NotRequired[ContinueFromDocument]
