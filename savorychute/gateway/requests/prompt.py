"""What is known of a prompt before it is read."""

from __future__ import annotations

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt, named by its content."""

    part: str
    tokens: int


class Prompt(NamedTuple):
    """The parts of a prompt, in order, and the size of prompt and answer.

    The last part belongs to the request or to its session alone; those before it are
    shared with other requests.
    """

    model: str
    tokens: int
    answer_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_tokens(self) -> int:
        """How many tokens stand before the last part."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def affinity(self) -> str:
        """What requests of one cached prompt have in common; empty if nothing."""
        return self.parts[-2].part if len(self.parts) > 1 else ''
