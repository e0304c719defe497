"""A stream of a stand-in engine."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from savorychute.testing.answers import (
    POISON_MARKER,
    count_answer_tokens,
    count_prompt_tokens,
    digest_prompt,
    write_tokens,
)
from savorychute.testing.prompt_blocks import hash_blocks

if TYPE_CHECKING:
    from savorychute.testing.engine_request import EngineRequest


class StreamPhase(Enum):
    """The state of a stream."""

    WAITING = 'waiting'
    PREFILL = 'prefill'
    RUNNING = 'running'
    KEPT = 'kept'
    DONE = 'done'


class EngineStream:
    """The request and progress of a stream.

    ``base_tokens`` were generated before ``base_step``; a running stream
    generates one more token at each step after it.  ``version`` changes with each
    schedule, so that the batch can skip its outdated entries.
    """

    def __init__(self, request: EngineRequest, arrival: int) -> None:
        self.request = request
        self.arrival = arrival
        self.attempt_id = request.attempt_id
        self.stream_id = request.stream_id
        self.priority = request.priority
        self.phase = StreamPhase.WAITING
        self.prompt_tokens = count_prompt_tokens(request.prompt)
        self.answer_tokens = count_answer_tokens(request.prompt, request.max_tokens)
        self.digest = _digest(request)
        self.blocks = hash_blocks(request.prompt)
        self.poison = POISON_MARKER in request.prompt
        self.base_tokens = request.continue_offset
        self.base_step = 0
        self.emitted_tokens = request.continue_offset
        self.kept_until_ms = 0.0
        self.is_paused = False
        self.version = 0

    @property
    def is_kept(self) -> bool:
        """Return whether the stream is not in the batch and can be resumed."""
        return self.phase in (StreamPhase.KEPT, StreamPhase.DONE)

    def tokens_at(self, step: int) -> int:
        """Return the number of generated tokens after *step*."""
        if self.phase is not StreamPhase.RUNNING:
            return self.base_tokens
        return min(self.base_tokens + step - self.base_step, self.answer_tokens)

    def next_stop(self, chunk_steps: int) -> int:
        """Return the token count at which the next event is due."""
        if self.emitted_tokens == self.request.continue_offset:
            return min(self.emitted_tokens + 1, self.answer_tokens)
        return min(self.emitted_tokens + chunk_steps, self.answer_tokens)


def _digest(request: EngineRequest) -> str:
    """Return the digest of the answer.

    It differs if the text to continue is not the start of the prompt's answer.
    """
    prompt_digest = digest_prompt(request.prompt)
    expected_text = write_tokens(prompt_digest, 0, request.continue_offset)
    if request.continue_text == expected_text:
        return prompt_digest
    return digest_prompt(request.prompt + request.continue_text)
