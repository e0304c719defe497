"""Start queued requests at endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.actions import CancelAttempt, StartAttempt
from savorychute.admission import RunningRequest
from savorychute.instance.attempt import Attempt
from savorychute.instance.directory import digest_organisation
from savorychute.recovery import PoisonVerdict
from savorychute.requests.continuation_handle import ContinuationHandle
from savorychute.requests.request_state import RequestState
from savorychute.routing import RoutingRequest

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.admission import QueuedRequest
    from savorychute.instance.key_desk import KeyDesk
    from savorychute.instance.parts import Parts
    from savorychute.instance.queue_desk import QueueDesk
    from savorychute.instance.tracked_request import TrackedRequest

#: A bound on the starts of one pump, so that one call never takes long.
MAX_STARTS_PER_PUMP = 64
MAX_PREEMPTIONS_PER_PUMP = 8
NO_RESUME = -1
SERVICE_POOL_PREFIX = 'service:'


class Dispatcher:
    """Match what waits with what is free, by tier, fairness and deadline.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts, key_desk: KeyDesk, queue_desk: QueueDesk) -> None:
        self._parts = parts
        self._key_desk = key_desk
        self._queue_desk = queue_desk

    def pump(self, pool: str, now_ms: int) -> list[Action]:
        """Start as much of a pool's queue as limits and credits permit.

        :param pool: a model's name, or ``service:`` and a service's name.
        """
        actions = self._start_waiting(pool, now_ms)
        for _ in range(MAX_PREEMPTIONS_PER_PUMP):
            freed = self._preempt(pool, now_ms)
            if not freed:
                break
            actions += freed
            actions += self._start_waiting(pool, now_ms)
        return actions

    def _start_waiting(self, pool: str, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        usable = self._list_usable(pool, now_ms)

        def may_start(queued: QueuedRequest) -> bool:
            return self._may_start(queued, usable, now_ms)

        for _ in range(MAX_STARTS_PER_PUMP):
            queued = self._parts.admission.next_start(pool, now_ms, may_start)
            if queued is None:
                break
            tracked = self._parts.table.find(queued.request_id)
            if tracked is not None:
                actions += self._grant(tracked, queued, usable, now_ms)
        return actions

    def send(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Start the attempt of a request that holds all it needs.

        :param tracked: granted, and permitted by its key if it has one.
        """
        attempt = tracked.attempt
        if attempt is None or attempt.sent:
            return []
        document = self._parts.directory.endpoints.get(attempt.endpoint)
        if document is None:
            return []
        request = tracked.request
        attempt.progress_ms = now_ms
        resume_offset = tracked.delivered_tokens if attempt.resumed else NO_RESUME
        return [
            StartAttempt(
                attempt_id=attempt.attempt_id,
                request_id=tracked.request_id,
                endpoint=attempt.endpoint,
                dialect=document['dialect'],
                host=document['host'],
                port=document['port'],
                method=request.method,
                path=request.path,
                body=self._make_body(tracked, attempt),
                model=request.model,
                priority=tracked.limits.priority,
                stream=request.stream,
                stream_id=attempt.stream_id,
                resume_offset=resume_offset,
                timeout_ms=max(1, tracked.deadline_ms - now_ms),
            )
        ]

    def _list_usable(self, pool: str, now_ms: int) -> list[str]:
        parts = self._parts
        is_service = pool.startswith(SERVICE_POOL_PREFIX)
        return [
            endpoint
            for endpoint in parts.credits.candidates(pool)
            if parts.directory.is_usable(endpoint)
            and parts.ejector.admits(endpoint, now_ms)
            and (is_service or parts.book.is_loaded(endpoint, pool))
        ]

    def _may_start(self, queued: QueuedRequest, usable: list[str], now_ms: int) -> bool:
        parts = self._parts
        tracked = parts.table.find(queued.request_id)
        if tracked is None:
            return True
        if now_ms < tracked.held_until_ms:
            return False
        if not self._is_permitted(queued, now_ms):
            return False
        tier = queued.tier
        eligible = self._list_eligible(tracked, usable, now_ms)
        free = [name for name in eligible if parts.credits.available(name, tier) > 0]
        verdict = parts.quarantine.verdict(tracked.fingerprint, now_ms)
        if verdict is PoisonVerdict.CLEAR:
            return bool(free)
        if verdict is not PoisonVerdict.SUSPECT:
            return False
        preferred = parts.quarantine.preferred_endpoint(
            tracked.fingerprint, free, now_ms
        )
        return preferred is not None

    def _list_eligible(
        self, tracked: TrackedRequest, usable: list[str], now_ms: int
    ) -> list[str]:
        """Return where a request may go, given where it failed before.

        If this instance holds credit only at the endpoint that just refused
        or failed the request, going back there at once uses up all its tries
        within milliseconds.  So it waits a while for credit elsewhere.
        """
        if not tracked.failed_endpoints or tracked.resume_at is not None:
            return usable
        fresh = [name for name in usable if name not in tracked.failed_endpoints]
        waited_ms = now_ms - tracked.failed_ms
        if fresh and waited_ms < self._parts.settings.avoid_failed_ms:
            return fresh
        return usable

    def _could_start(self, queued: QueuedRequest, now_ms: int) -> bool:
        """Return whether a request would start if an endpoint had room for it.

        Nothing is paused for a suspect of crashes, which waits for its turn:
        the place would go straight back to what was paused.
        """
        tracked = self._parts.table.find(queued.request_id)
        if tracked is None or now_ms < tracked.held_until_ms:
            return False
        verdict = self._parts.quarantine.verdict(tracked.fingerprint, now_ms)
        if verdict is not PoisonVerdict.CLEAR:
            return False
        return self._is_permitted(queued, now_ms)

    def _is_permitted(self, queued: QueuedRequest, now_ms: int) -> bool:
        """Return whether the organisation's limits permit a start now."""
        limiter = self._parts.limiter
        return limiter.check(queued.organisation, queued.expected_tokens, now_ms) <= 0

    def _grant(
        self,
        tracked: TrackedRequest,
        queued: QueuedRequest,
        usable: list[str],
        now_ms: int,
    ) -> list[Action]:
        """Reserve an endpoint and the organisation's limit for a request."""
        parts = self._parts
        free = [
            endpoint
            for endpoint in self._list_eligible(tracked, usable, now_ms)
            if parts.credits.available(endpoint, queued.tier) > 0
        ]
        endpoint = self._choose(tracked, queued, free, now_ms)
        tracked.attempt_count += 1
        attempt_id = f'{tracked.request_id}-{tracked.attempt_count}'
        if endpoint is None or not parts.credits.take(
            endpoint, attempt_id, queued.tier, queued.expected_tokens, now_ms
        ):
            tracked.attempt_count -= 1
            parts.admission.restore(queued, now_ms)
            return []
        attempt = self._make_attempt(tracked, attempt_id, endpoint, now_ms)
        tracked.attempt = attempt
        parts.table.attach(tracked)
        parts.limiter.start(
            queued.organisation, tracked.request_id, queued.expected_tokens, now_ms
        )
        parts.book.record_start(
            attempt_id,
            endpoint,
            tracked.request.prompt_tokens,
            queued.expected_tokens - tracked.request.prompt_tokens,
            tracked.request.prefix_hashes,
            now_ms,
        )
        parts.quarantine.record_start(tracked.fingerprint, attempt_id, endpoint, now_ms)
        tracked.life.transition(RequestState.GRANTED, now_ms, f'granted {endpoint}')
        if tracked.limits.idempotent:
            return self.send(tracked, now_ms)
        return self._key_desk.announce(tracked, now_ms)

    def _choose(
        self,
        tracked: TrackedRequest,
        queued: QueuedRequest,
        free: list[str],
        now_ms: int,
    ) -> str | None:
        """Return the endpoint for a request's next attempt.

        A stream that was paused goes back to where its cache is.  A request
        under suspicion of crashing endpoints is kept to an endpoint that is
        under suspicion too, so that it takes down no third one.
        """
        resume_at = tracked.resume_at
        if resume_at is not None and resume_at.endpoint in free:
            return resume_at.endpoint
        quarantine = self._parts.quarantine
        if quarantine.verdict(tracked.fingerprint, now_ms) is not PoisonVerdict.CLEAR:
            return quarantine.preferred_endpoint(tracked.fingerprint, free, now_ms)
        choice = self._parts.router.choose(
            RoutingRequest(
                request_id=tracked.request_id,
                pool=tracked.pool,
                prompt_tokens=tracked.request.prompt_tokens,
                expected_tokens=queued.expected_tokens - tracked.request.prompt_tokens,
                prefix_hashes=tracked.request.prefix_hashes,
                tier=queued.tier,
            ),
            free,
            now_ms,
        )
        return None if choice is None else choice.endpoint

    def _make_attempt(
        self, tracked: TrackedRequest, attempt_id: str, endpoint: str, now_ms: int
    ) -> Attempt:
        resume_at = tracked.resume_at
        tracked.resume_at = None
        resumed = resume_at is not None and resume_at.endpoint == endpoint
        if resume_at is not None and resumed:
            stream_id = resume_at.stream_id
        else:
            owner = digest_organisation(tracked.limits.organisation)
            stream_id = f'{owner}.{attempt_id}'
        return Attempt(
            attempt_id, endpoint, stream_id, tracked.delivered_tokens, resumed, now_ms
        )

    def _make_body(self, tracked: TrackedRequest, attempt: Attempt) -> bytes:
        """Return the body, with the text to continue from if there is some."""
        body = tracked.request.body
        if attempt.resumed or not tracked.delivered_text or not tracked.knows_text:
            return body
        document = msgspec.json.decode(body)
        document['continue_from'] = {
            'offset': tracked.delivered_tokens,
            'text': tracked.delivered_text.decode(errors='replace'),
        }
        return msgspec.json.encode(document)

    def _preempt(self, pool: str, now_ms: int) -> list[Action]:
        """Pause one lower stream if higher work waits for its place."""
        parts = self._parts
        if not parts.admission.waiting(pool):
            return []
        running = [
            RunningRequest(
                request_id=tracked.request_id,
                tier=tracked.limits.tier,
                resumable=tracked.is_pausable,
                started_ms=tracked.life.received_ms,
            )
            for tracked in parts.table.running(pool)
        ]

        def may_start(queued: QueuedRequest) -> bool:
            return self._could_start(queued, now_ms)

        request_id = parts.admission.preemption(pool, running, now_ms, may_start)
        if request_id is None:
            return []
        tracked = parts.table.find(request_id)
        if tracked is None or tracked.attempt is None:
            return []
        return self._pause(tracked, tracked.attempt, now_ms)

    def _pause(
        self, tracked: TrackedRequest, attempt: Attempt, now_ms: int
    ) -> list[Action]:
        parts = self._parts
        tracked.resume_at = ContinuationHandle(
            attempt.endpoint, attempt.stream_id, tracked.delivered_tokens
        )
        parts.credits.give_back(attempt.attempt_id, now_ms)
        parts.book.record_finish(attempt.attempt_id, True, now_ms)
        parts.limiter.finish(tracked.request_id, 0, now_ms)
        parts.table.detach(tracked)
        cancel = CancelAttempt(attempt.attempt_id, keep_stream=True)
        return [cancel, *self._queue_desk.put_back(tracked, now_ms)]
