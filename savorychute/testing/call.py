"""One logical request of a caller, with all of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.result_code import ResultCode


class CallClass(NamedTuple):
    """A class of requests as callers see it.

    Output lengths are log-normally distributed with the median
    ``output_tokens`` and the deviation ``spread``.  If ``service`` is set, the
    call goes to a plain service.
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
    """A request of one caller and what was received so far.

    :param call_id: also part of the body, see :mod:`savorychute.testing.markers`.
    :param organisation: the organisation whose token the call carries.
    :param call_class: the class of the request.
    :param body: the body of the request.
    :param answer: the expected complete answer.
    :param answer_tokens: the length of the answer; 0 for a plain service.
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
        self.started_ms = 0.0
        self.ended_ms: float | None = None
        self.first_token_ms: float | None = None
        self.last_token_ms = 0.0
        self.worst_gap_ms = 0.0
        self.text = b''
        self.key = ''
        self.handle = ''
        self.chunk_offset = 0
        self.chunk_start = 0
        self.attempts = 0
        self.failures = 0
        self.redirects = 0
        self.backoff_count = 0
        self.code: ResultCode | None = None
        self.outcome = ''

    @property
    def is_finished(self) -> bool:
        """Whether the caller knows the outcome."""
        return self.ended_ms is not None

    @property
    def is_complete(self) -> bool:
        """Whether the caller has the complete answer."""
        return self.is_finished and self.outcome == 'answered'

    @property
    def ending(self) -> str:
        """The outcome and result code as text."""
        return f'{self.outcome} {self.code.name if self.code else ""}'.strip()

    @property
    def deadline_ms(self) -> float:
        """The time at which the caller stops waiting."""
        return self.started_ms + self.call_class.timeout_ms

    @property
    def has_attained(self) -> bool:
        """Whether the answer is complete and met the targets of its class.

        The time to the first token is measured from the caller's first attempt
        to the arrival of the token; the token gap is the mean over the answer.
        """
        if not self.is_complete or self.first_token_ms is None or self.ended_ms is None:
            return False
        wait_ms = self.first_token_ms - self.started_ms
        if wait_ms > self.call_class.first_token_target_ms:
            return False
        return self.mean_gap_ms <= self.call_class.token_gap_target_ms

    @property
    def mean_gap_ms(self) -> float:
        """The mean time between tokens."""
        if self.first_token_ms is None or self.answer_tokens < 2:
            return 0.0
        return (self.last_token_ms - self.first_token_ms) / (self.answer_tokens - 1)
