"""A caller's request in progress at an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.request_lifecycle import RequestLifecycle

if TYPE_CHECKING:
    from savorychute.contracts.class_limits import ClassLimits
    from savorychute.inputs import CallerRequest
    from savorychute.instance.attempt import Attempt
    from savorychute.requests.continuation_handle import ContinuationHandle


class TrackedRequest:
    """The state of one request, from its arrival to its response.

    :param request: the request as the caller sent it.
    :param limits: the limits of its class in the contract.
    :param fingerprint: a hash of organisation and body; the same request with a
        new id has the same fingerprint.
    :param now_ms: the time of its arrival.
    """

    __slots__ = (
        'attempt',
        'attempt_count',
        'buffer',
        'caller_left',
        'deadline_ms',
        'delivered_text',
        'delivered_tokens',
        'failed_endpoints',
        'failure_count',
        'fingerprint',
        'first_token_ms',
        'gap_sum_ms',
        'has_whole_text',
        'holds_key',
        'is_interrupted',
        'last_failure_ms',
        'last_token_ms',
        'lifecycle',
        'limits',
        'pool',
        'request',
        'response_started',
        'resume_count',
        'resume_handle',
        'start_after_ms',
        'wasted_tokens',
    )

    def __init__(
        self, request: CallerRequest, limits: ClassLimits, fingerprint: str, now_ms: int
    ) -> None:
        self.request = request
        self.limits = limits
        self.fingerprint = fingerprint
        self.pool = request.model or f'service:{request.service}'
        self.lifecycle = RequestLifecycle(
            request.request_id,
            now_ms,
            is_resumed=bool(request.handle),
            has_key=not limits.idempotent,
        )
        self.deadline_ms = now_ms + limits.timeout_ms
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.failure_count = 0
        self.last_failure_ms = now_ms
        self.start_after_ms = now_ms
        self.resume_count = 0
        self.failed_endpoints: set[str] = set()
        self.resume_handle: ContinuationHandle | None = None
        # Whether the stream of the handle lost its instance, so that its slot is free.
        self.is_interrupted = False
        self.response_started = False
        self.caller_left = False
        self.holds_key = False
        self.delivered_tokens = 0
        self.delivered_text = bytearray()
        self.has_whole_text = True
        self.buffer = bytearray()
        self.wasted_tokens = 0
        self.first_token_ms = -1
        self.last_token_ms = -1
        self.gap_sum_ms = 0

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.request.request_id

    @property
    def resumable(self) -> bool:
        """Whether its stream can be paused and resumed."""
        return self.request.stream and self.limits.idempotent

    @property
    def is_pausable(self) -> bool:
        """Whether it can be paused to free a credit, without generating a token twice."""
        if self.attempt is None or not self.attempt.has_credit:
            return False
        return self.resumable and self.response_started

    @property
    def expects_tokens(self) -> bool:
        """Whether a model generates its response."""
        return bool(self.request.model)
