"""A decoded message from another instance."""

from __future__ import annotations

from typing import Any, NamedTuple


class DecodedMessage(NamedTuple):
    """A message and its sender.

    ``sequence`` is the number of the message within the sender's incarnation.
    """

    sender: str
    incarnation: int
    message: tuple[Any, ...]
    sequence: int = 0
