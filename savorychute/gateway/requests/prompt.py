"""What is known about a prompt before an engine prefills it."""

from __future__ import annotations

from typing import NamedTuple

# An upper bound of the events of a response by its tokens.
EVENTS_PER_TOKEN = 2
FURTHER_EVENTS = 256


class PromptPart(NamedTuple):
    """A part of a prompt, identified by a hash of its content."""

    part: str
    tokens: int


class Prompt(NamedTuple):
    """The parts of a prompt in order, and the token counts of prompt and response.

    The last part belongs only to the request or its session; the parts before it are
    shared with other requests.  ``hinted_tokens`` is the caller's estimate of the tokens
    of the response, 0 if it gave none.
    """

    model: str
    tokens: int
    answer_tokens: int
    parts: tuple[PromptPart, ...]
    hinted_tokens: int = 0

    @property
    def shared_tokens(self) -> int:
        """The number of tokens before the last part."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def max_events(self) -> int | None:
        """The most events of a response; None if its tokens are not limited.

        An event holds a token or more, besides some that only begin or end the response.
        """
        if not self.answer_tokens:
            return None
        return EVENTS_PER_TOKEN * self.answer_tokens + FURTHER_EVENTS

    @property
    def affinity(self) -> str:
        """The key shared by requests with the same cached prefix; empty for none."""
        return self.parts[-2].part if len(self.parts) > 1 else ''
