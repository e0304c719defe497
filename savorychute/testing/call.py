"""One logical request of a caller, over all of its tries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.result_code import ResultCode


class CallClass(NamedTuple):
    """A class of requests as its callers see it.

    Output lengths are log-normal around ``output_tokens`` with ``spread``.
    With ``service`` the call goes to a plain service.
    """

    name: str
    tier: int
    first_token_target_ms: int
    token_gap_target_ms: int
    timeout_ms: int
    weight: float
    idempotent: bool = True
    patient: bool = False
    minimum_share: float = 0.02
    demand: float = 1.0
    prompt_tokens: int = 200
    shared_prompt_tokens: int = 128
    output_tokens: int = 80
    spread: float = 0.6
    service: str = ''
    stream: bool = True


class Call:
    """What one caller wants, and what it has got so far.

    :param call_id: also marks the body.
    :param organisation: whose token it carries.
    :param call_class: what is asked.
    :param body: the request's body.
    :param answer: the whole text that is due.
    :param answer_tokens: its length, 0 for a plain service.
    """

    def __init__(
        self,
        call_id: str,
        organisation: str,
        call_class: CallClass,
        body: bytes,
        answer: bytes,
        answer_tokens: int,
        prompt: str = '',
    ) -> None:
        self.call_id = call_id
        self.organisation = organisation
        self.call_class = call_class
        self.body = body
        self.prompt = prompt
        self.answer = answer
        self.answer_tokens = answer_tokens
        self.begun_ms = 0.0
        self.ended_ms: float | None = None
        self.first_token_ms: float | None = None
        self.last_token_ms = 0.0
        self.worst_gap_ms = 0.0
        self.text = b''
        self.key = ''
        self.handle = ''
        self.chunk_offset = 0
        self.chunk_start = 0
        self.tries = 0
        self.failures = 0
        self.redirects = 0
        self.waits = 0
        self.code: ResultCode | None = None
        self.told = ''

    @property
    def is_over(self) -> bool:
        """Whether the caller knows how it ended."""
        return self.ended_ms is not None

    @property
    def is_whole(self) -> bool:
        """Whether the caller has the whole answer."""
        return self.is_over and self.told == 'answered'

    @property
    def ending(self) -> str:
        """How it ended, in words."""
        return f'{self.told} {self.code.name if self.code else ""}'.strip()

    @property
    def deadline_ms(self) -> float:
        """When the caller no longer waits."""
        return self.begun_ms + self.call_class.timeout_ms

    @property
    def has_attained(self) -> bool:
        """Whether the answer is whole and met its class's targets.

        The first token counts from the caller's first try to its arrival, the
        gap is the mean over the answer.
        """
        if not self.is_whole or self.first_token_ms is None or self.ended_ms is None:
            return False
        wait_ms = self.first_token_ms - self.begun_ms
        if wait_ms > self.call_class.first_token_target_ms:
            return False
        return self.mean_gap_ms <= self.call_class.token_gap_target_ms

    @property
    def mean_gap_ms(self) -> float:
        """The mean time between tokens."""
        if self.first_token_ms is None or self.answer_tokens < 2:
            return 0.0
        return (self.last_token_ms - self.first_token_ms) / (self.answer_tokens - 1)
