"""A message from another instance, decoded."""

from __future__ import annotations

from typing import Any, NamedTuple


class DecodedMessage(NamedTuple):
    """A message with who sent it.

    ``sequence`` counts the sender's messages within its incarnation.
    """

    sender: str
    incarnation: int
    message: tuple[Any, ...]
    sequence: int = 0
