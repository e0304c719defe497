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
    from savorychute.instance.key_handler import KeyHandler
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.queue_handler import QueueHandler
    from savorychute.instance.tracked_request import TrackedRequest

#: Limits the starts of one dispatch, so that one call never takes long.
MAX_STARTS_PER_DISPATCH = 64
MAX_PREEMPTIONS_PER_DISPATCH = 8
NO_RESUME_OFFSET = -1
SERVICE_POOL_PREFIX = 'service:'


class Dispatcher:
    """Matches queued requests with free endpoints by tier, fairness and deadline.

    :param parts: the parts of the instance.
    :param key_handler: requests permission to start requests that have a key.
    :param queue_handler: requeues requests that are preempted.
    """

    def __init__(
        self, parts: InstanceParts, key_handler: KeyHandler, queue_handler: QueueHandler
    ) -> None:
        self._parts = parts
        self._key_handler = key_handler
        self._queue_handler = queue_handler

    def dispatch_pool(self, pool: str, now_ms: int) -> list[Action]:
        """Start as many queued requests of a pool as limits and credits permit.

        :param pool: the name of a model, or ``service:`` and the name of a service.
        """
        actions = self._start_queued(pool, now_ms)
        for _ in range(MAX_PREEMPTIONS_PER_DISPATCH):
            preemption_actions = self._preempt(pool, now_ms)
            if not preemption_actions:
                break
            actions += preemption_actions
            actions += self._start_queued(pool, now_ms)
        return actions

    def _start_queued(self, pool: str, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        usable_endpoints = self._list_usable_endpoints(pool, now_ms)

        def can_start(queued: QueuedRequest) -> bool:
            return self._can_start(queued, usable_endpoints, now_ms)

        for _ in range(MAX_STARTS_PER_DISPATCH):
            queued = self._parts.admission.next_start(pool, now_ms, can_start)
            if queued is None:
                break
            tracked = self._parts.request_table.find(queued.request_id)
            if tracked is not None:
                actions += self._grant(tracked, queued, usable_endpoints, now_ms)
        return actions

    def send(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Start the attempt of a request that is ready to be sent.

        :param tracked: a granted request; its key, if any, permits the start.
        """
        attempt = tracked.attempt
        if attempt is None or attempt.sent:
            return []
        document = self._parts.directory.endpoints.get(attempt.endpoint)
        if document is None:
            return []
        request = tracked.request
        attempt.last_progress_ms = now_ms
        resume_offset = (
            tracked.delivered_tokens if attempt.resumed else NO_RESUME_OFFSET
        )
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
                only_if_interrupted=attempt.resumed and not attempt.has_credit,
            )
        ]

    def _list_usable_endpoints(self, pool: str, now_ms: int) -> list[str]:
        parts = self._parts
        is_service = pool.startswith(SERVICE_POOL_PREFIX)
        return [
            endpoint
            for endpoint in parts.credits.candidates(pool)
            if parts.directory.is_usable(endpoint)
            and parts.ejector.admits(endpoint, now_ms)
            and (is_service or parts.endpoint_table.is_loaded(endpoint, pool))
        ]

    def _can_start(
        self, queued: QueuedRequest, usable_endpoints: list[str], now_ms: int
    ) -> bool:
        parts = self._parts
        tracked = parts.request_table.find(queued.request_id)
        if tracked is None:
            return True
        if now_ms < tracked.start_after_ms:
            return False
        if not self._is_permitted(queued, now_ms):
            return False
        if self._find_interrupted_at(tracked, now_ms) is not None:
            return True
        tier = queued.tier
        eligible = self._list_eligible(tracked, usable_endpoints, now_ms)
        free_endpoints = [
            name for name in eligible if parts.credits.available(name, tier) > 0
        ]
        verdict = parts.quarantine.verdict(tracked.fingerprint, now_ms)
        if verdict is PoisonVerdict.CLEAR:
            return bool(free_endpoints)
        if verdict is not PoisonVerdict.SUSPECT:
            return False
        preferred = parts.quarantine.preferred_endpoint(
            tracked.fingerprint, free_endpoints, now_ms
        )
        return preferred is not None

    def _list_eligible(
        self, tracked: TrackedRequest, usable_endpoints: list[str], now_ms: int
    ) -> list[str]:
        """Return the endpoints for a request, without those where it failed.

        If this instance holds credit only at the endpoint that just refused or
        failed the request, retrying there at once would use up all attempts
        within milliseconds.  So the request waits for a while for credit at
        another endpoint.
        """
        if not tracked.failed_endpoints or tracked.resume_handle is not None:
            return usable_endpoints
        not_failed = [
            name for name in usable_endpoints if name not in tracked.failed_endpoints
        ]
        elapsed_ms = now_ms - tracked.last_failure_ms
        if not_failed and elapsed_ms < self._parts.settings.avoid_failed_ms:
            return not_failed
        return usable_endpoints

    def _can_start_after_preemption(self, queued: QueuedRequest, now_ms: int) -> bool:
        """Return whether a request would start if an endpoint had a free slot.

        No stream is paused for a request that is suspected of crashes, because
        it waits for its own turn and the freed slot would go straight back to
        the paused stream.
        """
        tracked = self._parts.request_table.find(queued.request_id)
        if tracked is None or now_ms < tracked.start_after_ms:
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
        usable_endpoints: list[str],
        now_ms: int,
    ) -> list[Action]:
        """Reserve an endpoint and a part of the organisation's limit."""
        parts = self._parts
        attempt = self._reserve(tracked, queued, usable_endpoints, now_ms)
        if attempt is None:
            parts.admission.restore(queued, now_ms)
            return []
        attempt_id = attempt.attempt_id
        endpoint = attempt.endpoint
        tracked.attempt_count += 1
        tracked.attempt = attempt
        parts.request_table.attach_attempt(tracked)
        parts.limiter.start(
            queued.organisation, tracked.request_id, queued.expected_tokens, now_ms
        )
        parts.endpoint_table.record_start(
            attempt_id,
            endpoint,
            tracked.request.prompt_tokens,
            queued.expected_tokens - tracked.request.prompt_tokens,
            tracked.request.prefix_hashes,
            now_ms,
        )
        parts.quarantine.record_start(tracked.fingerprint, attempt_id, endpoint, now_ms)
        tracked.lifecycle.transition(
            RequestState.GRANTED, now_ms, _describe_grant(attempt)
        )
        if tracked.limits.idempotent:
            return self.send(tracked, now_ms)
        return self._key_handler.notify_witness(tracked, now_ms)

    def _reserve(
        self,
        tracked: TrackedRequest,
        queued: QueuedRequest,
        usable_endpoints: list[str],
        now_ms: int,
    ) -> Attempt | None:
        """Return an attempt at an endpoint with a credit, or None if there is none.

        Only an interrupted stream goes on without a credit.
        """
        parts = self._parts
        attempt_id = f'{tracked.request_id}-{tracked.attempt_count + 1}'
        interrupted_at = self._find_interrupted_at(tracked, now_ms)
        endpoint = interrupted_at
        if endpoint is None:
            free_endpoints = [
                name
                for name in self._list_eligible(tracked, usable_endpoints, now_ms)
                if parts.credits.available(name, queued.tier) > 0
            ]
            endpoint = self._choose(tracked, queued, free_endpoints, now_ms)
        if endpoint is None:
            return None
        has_credit = parts.credits.acquire(
            endpoint, attempt_id, queued.tier, queued.expected_tokens, now_ms
        )
        if not has_credit:
            if interrupted_at is None:
                return None
            parts.credits.record_resume(endpoint, attempt_id, queued.tier, now_ms)
        return self._make_attempt(tracked, attempt_id, endpoint, has_credit, now_ms)

    def _find_interrupted_at(self, tracked: TrackedRequest, now_ms: int) -> str | None:
        """Return the engine that has kept a request's interrupted stream, if usable.

        Its slot is free, and its credit is reserved until the previous instance is
        known to be lost.  Without a credit of its own this instance would let another
        engine go on, which prefills the prompt and generates the tokens after the
        caller's offset again.
        """
        handle = tracked.resume_handle
        if handle is None or not tracked.is_interrupted:
            return None
        parts = self._parts
        endpoint = handle.endpoint
        verdict = parts.quarantine.verdict(tracked.fingerprint, now_ms)
        if (
            verdict is PoisonVerdict.CLEAR
            and parts.directory.is_usable(endpoint)
            and parts.ejector.is_allowed(endpoint, now_ms)
            and parts.credits.can_resume(endpoint, tracked.pool)
        ):
            return endpoint
        return None

    def _choose(
        self,
        tracked: TrackedRequest,
        queued: QueuedRequest,
        free_endpoints: list[str],
        now_ms: int,
    ) -> str | None:
        """Return the endpoint for a request's next attempt.

        A paused stream is resumed at the endpoint that has its cache.  A
        request that is suspected of crashing endpoints only goes to the
        endpoint that the quarantine prefers, so that it can't crash a third one.
        """
        resume_handle = tracked.resume_handle
        if resume_handle is not None and resume_handle.endpoint in free_endpoints:
            return resume_handle.endpoint
        quarantine = self._parts.quarantine
        if quarantine.verdict(tracked.fingerprint, now_ms) is not PoisonVerdict.CLEAR:
            return quarantine.preferred_endpoint(
                tracked.fingerprint, free_endpoints, now_ms
            )
        choice = self._parts.router.choose(
            RoutingRequest(
                request_id=tracked.request_id,
                pool=tracked.pool,
                prompt_tokens=tracked.request.prompt_tokens,
                expected_tokens=queued.expected_tokens - tracked.request.prompt_tokens,
                prefix_hashes=tracked.request.prefix_hashes,
                tier=queued.tier,
            ),
            free_endpoints,
            now_ms,
        )
        return None if choice is None else choice.endpoint

    def _make_attempt(
        self,
        tracked: TrackedRequest,
        attempt_id: str,
        endpoint: str,
        has_credit: bool,
        now_ms: int,
    ) -> Attempt:
        resume_handle = tracked.resume_handle
        tracked.resume_handle = None
        resumed = resume_handle is not None and resume_handle.endpoint == endpoint
        if resume_handle is not None and resumed:
            stream_id = resume_handle.stream_id
        else:
            organisation_digest = digest_organisation(tracked.limits.organisation)
            stream_id = f'{organisation_digest}.{attempt_id}'
        return Attempt(
            attempt_id,
            endpoint,
            stream_id,
            tracked.delivered_tokens,
            resumed,
            now_ms,
            has_credit,
        )

    def _make_body(self, tracked: TrackedRequest, attempt: Attempt) -> bytes:
        """Return the body, with the text to continue from if there is any."""
        body = tracked.request.body
        if attempt.resumed or not tracked.delivered_text or not tracked.has_whole_text:
            return body
        document = msgspec.json.decode(body)
        document['continue_from'] = {
            'offset': tracked.delivered_tokens,
            'text': tracked.delivered_text.decode(errors='replace'),
        }
        return msgspec.json.encode(document)

    def _preempt(self, pool: str, now_ms: int) -> list[Action]:
        """Pause one stream of a lower tier if a request of a higher tier waits."""
        parts = self._parts
        if not parts.admission.waiting(pool):
            return []
        running = [
            RunningRequest(
                request_id=tracked.request_id,
                tier=tracked.limits.tier,
                resumable=tracked.is_pausable,
                started_ms=tracked.lifecycle.received_ms,
            )
            for tracked in parts.request_table.running(pool)
        ]

        def can_start(queued: QueuedRequest) -> bool:
            return self._can_start_after_preemption(queued, now_ms)

        request_id = parts.admission.preemption(pool, running, now_ms, can_start)
        if request_id is None:
            return []
        tracked = parts.request_table.find(request_id)
        if tracked is None or tracked.attempt is None:
            return []
        return self._pause(tracked, tracked.attempt, now_ms)

    def _pause(
        self, tracked: TrackedRequest, attempt: Attempt, now_ms: int
    ) -> list[Action]:
        parts = self._parts
        tracked.resume_handle = ContinuationHandle(
            attempt.endpoint, attempt.stream_id, tracked.delivered_tokens
        )
        parts.credits.release(attempt.attempt_id, now_ms)
        parts.endpoint_table.record_finish(attempt.attempt_id, True, now_ms)
        parts.limiter.finish(tracked.request_id, 0, now_ms)
        parts.request_table.detach_attempt(tracked)
        cancel = CancelAttempt(attempt.attempt_id, keep_stream=True)
        return [cancel, *self._queue_handler.requeue(tracked, now_ms)]


def _describe_grant(attempt: Attempt) -> str:
    if attempt.has_credit:
        return f'granted {attempt.endpoint}'
    return f'resumes at {attempt.endpoint} without credit'
