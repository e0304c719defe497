"""A caller's request while an instance is responsible for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.request_lifecycle import RequestLifecycle

if TYPE_CHECKING:
    from savorychute.contracts.class_limits import ClassLimits
    from savorychute.inputs import CallerRequest
    from savorychute.instance.attempt import Attempt
    from savorychute.requests.continuation_handle import ContinuationHandle


class TrackedRequest:
    """The state of one request, from its arrival to its answer.

    :param request: as the caller sent it.
    :param limits: what its contract says of its class.
    :param fingerprint: organisation and body as one hash; the same request sent
        again under a new id has the same one.
    :param now_ms: when it arrived.
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
        'failed_ms',
        'failures',
        'fingerprint',
        'first_token_ms',
        'gap_sum_ms',
        'held_until_ms',
        'holds_key',
        'knows_text',
        'life',
        'limits',
        'pool',
        'request',
        'responding',
        'resume_at',
        'resume_tries',
        'token_ms',
        'wasted_tokens',
    )

    def __init__(
        self, request: CallerRequest, limits: ClassLimits, fingerprint: str, now_ms: int
    ) -> None:
        self.request = request
        self.limits = limits
        self.fingerprint = fingerprint
        self.pool = request.model or f'service:{request.service}'
        self.life = RequestLifecycle(
            request.request_id,
            now_ms,
            is_resumed=bool(request.handle),
            has_key=not limits.idempotent,
        )
        self.deadline_ms = now_ms + limits.timeout_ms
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.failures = 0
        self.failed_ms = now_ms
        self.held_until_ms = now_ms
        self.resume_tries = 0
        self.failed_endpoints: set[str] = set()
        self.resume_at: ContinuationHandle | None = None
        self.responding = False
        self.caller_left = False
        self.holds_key = False
        self.delivered_tokens = 0
        self.delivered_text = bytearray()
        self.knows_text = True
        self.buffer = bytearray()
        self.wasted_tokens = 0
        self.first_token_ms = -1
        self.token_ms = -1
        self.gap_sum_ms = 0

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.request.request_id

    @property
    def resumable(self) -> bool:
        """Whether its stream may be paused and taken up again."""
        return self.request.stream and self.limits.idempotent

    @property
    def is_pausable(self) -> bool:
        """Whether it runs and can be paused without making a token twice."""
        return self.resumable and self.responding and self.attempt is not None

    @property
    def expects_tokens(self) -> bool:
        """Whether a model makes its answer."""
        return bool(self.request.model)
