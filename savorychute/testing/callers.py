"""All callers of a simulation, with the behaviour of their client library."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.endpoints.prompt_blocks import estimate_tokens, hash_prefixes
from savorychute.errors import SavorychuteError
from savorychute.inputs import CallerRequest
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.testing.call_attempt import (
    CallAttempt,
    build_continuation_body,
    build_continuation_handle,
)
from savorychute.testing.matrix import steps
from savorychute.testing.refusal import BROKEN, NOT_READY, Refusal

if TYPE_CHECKING:
    from random import Random

    from savorychute.testing.call import Call
    from savorychute.testing.fleet import Fleet
    from savorychute.testing.instance_host import InstanceHost

CHAT_PATH = '/v1/chat/completions'
MAX_FAILURES = 5
MAX_REDIRECTS = 5
MIN_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 2_000.0
CALLER_GRACE_MS = 3_000.0
PAUSE_DETECTION_MS = 3_000.0


OTHER_INSTANCE_CODES = frozenset((ResultCode.SHUTTING_DOWN, ResultCode.NOT_READY))
EXPIRED_KEY_CODES = frozenset((ResultCode.KEY_REVOKED, ResultCode.KEY_TOO_OLD))


class KnownInstances(NamedTuple):
    """The instances of a discovery answer and the time at which it expires."""

    names: tuple[str, ...]
    until_ms: float


class Callers:
    """Sends calls and retries them when an instance fails.

    :param simulation: the simulation.
    :param rng: chooses instances and delays.
    """

    def __init__(self, simulation: Fleet, rng: Random) -> None:
        self.simulation = simulation
        self.calls: list[Call] = []
        self.refusals = 0
        self.failovers = 0
        self._rng = rng
        self._known_instances: dict[str, KnownInstances] = {}
        self._last_number = 0
        self._open_attempts: dict[str, CallAttempt] = {}

    def start(self, call: Call) -> None:
        """Start a call now."""
        call.started_ms = self.simulation.heap.now_ms
        self.calls.append(call)
        timeout_ms = call.call_class.timeout_ms + CALLER_GRACE_MS
        self.simulation.heap.call_later(timeout_ms, self._give_up, call)
        self._attempt(call, '')

    def answered(self, call: Call, call_attempt: CallAttempt) -> None:
        """Handle a complete answer and compare it with the expected one."""
        self.simulation.reached(steps.ANSWERED, call.call_id, call_attempt.host.name)
        if call.text != call.answer:
            self.simulation.record_violation(
                f'call {call.call_id}: {len(call.text)} bytes reported as the'
                f' complete answer of {len(call.answer)}'
            )
        self._end(call, 'answered', ResultCode.OK)

    def failed(self, call: Call, refusal: Refusal, call_attempt: CallAttempt) -> None:
        """Retry after a refusal or an interrupted answer, or end the call.

        The rules are those of :class:`savorychute.client.call_execution.CallExecution`.
        """
        self._open_attempts.pop(call.call_id, None)
        if refusal.location and call.redirects < MAX_REDIRECTS:
            call.redirects += 1
            self._retry_later(call, refusal, 0.0, refusal.location)
        elif refusal.code in OTHER_INSTANCE_CODES:
            self._remove_instance(call.organisation, call_attempt.host.name)
            self._retry_later(call, refusal, self._draw_backoff_ms(call))
        elif refusal.code in EXPIRED_KEY_CODES and refusal.ran is Ran.NOT_RUN:
            call.key = ''
            self._retry_later(call, refusal, 0.0)
        elif refusal.is_interrupted:
            self._retry_possibly_run(call, refusal, self._draw_backoff_ms(call))
        elif refusal.ran is Ran.NOT_RUN and refusal.retry_after_ms > 0:
            self._retry_later(call, refusal, refusal.retry_after_ms)
        elif call.call_class.idempotent and refusal.retry_after_ms > 0:
            self._retry_possibly_run(call, refusal, refusal.retry_after_ms)
        else:
            self._end(call, str(refusal.ran), refusal.code)

    def attempt_broke(self, call: Call, call_attempt: CallAttempt) -> None:
        """Retry at another instance after a connection broke."""
        self._open_attempts.pop(call.call_id, None)
        self.failovers += 1
        self._remove_instance(call.organisation, call_attempt.host.name)
        self._retry_possibly_run(call, BROKEN, self._draw_backoff_ms(call))

    def handle_pause(self, host: InstanceHost) -> None:
        """Let callers disconnect from an instance that is unresponsive for too long."""
        if not host.is_paused:
            return
        for call_attempt in list(self._open_attempts.values()):
            if call_attempt.host is host and call_attempt.is_open:
                call_attempt.leave()
                self.attempt_broke(call_attempt.call, call_attempt)

    def _retry_possibly_run(self, call: Call, refusal: Refusal, wait_ms: float) -> None:
        """Retry a request that may have run, up to the limit of failures."""
        call.failures += 1
        if call.failures > MAX_FAILURES:
            self._end(call, str(refusal.ran), refusal.code)
            return
        self._retry_later(call, refusal, wait_ms)

    def _retry_later(
        self, call: Call, refusal: Refusal, wait_ms: float, location: str = ''
    ) -> None:
        if call.is_finished:
            return
        heap = self.simulation.heap
        if heap.now_ms + wait_ms >= call.deadline_ms:
            self._end(call, str(refusal.ran), refusal.code)
            return
        heap.call_later(wait_ms, self._attempt, call, location)

    def _draw_backoff_ms(self, call: Call) -> float:
        call.backoff_count += 1
        max_wait_ms = min(
            MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(call.backoff_count, 16)
        )
        return self._rng.uniform(0.0, max_wait_ms)

    def _attempt(self, call: Call, location: str) -> None:
        if call.is_finished:
            return
        call.attempts += 1
        host = self._pick(call, location)
        if host is None:
            self._retry_later(call, NOT_READY, self._draw_backoff_ms(call))
            return
        delay_ms = self.simulation.network.settings.client_ms
        needs_key = not call.call_class.idempotent and not call.key
        if needs_key:
            self.simulation.heap.call_later(delay_ms, self._request_key, call, host)
            return
        self._send(call, host)

    def _request_key(self, call: Call, host: InstanceHost) -> None:
        """Request a key from the instance that will receive the call."""
        delay_ms = self.simulation.network.settings.client_ms
        self.simulation.reached(steps.KEYED, call.call_id, host.name)
        key = ''
        if host.is_up and not host.is_paused:
            key = self.simulation.issue_key(host, call.organisation)
        if not key:
            self._remove_instance(call.organisation, host.name)
            self._retry_later(call, NOT_READY, self._draw_backoff_ms(call))
            return
        call.key = key
        self.simulation.heap.call_later(delay_ms, self._send, call, host)

    def _send(self, call: Call, host: InstanceHost) -> None:
        if call.is_finished:
            return
        self._last_number += 1
        request_id = f'{host.name}-{host.address.incarnation:x}-{self._last_number:x}'
        call_attempt = CallAttempt(self, call, host, request_id)
        self._open_attempts[call.call_id] = call_attempt
        request = self._write_request(call, request_id)
        self.simulation.record_request(request_id, call)
        delay_ms = self.simulation.network.settings.client_ms
        self.simulation.heap.call_later(delay_ms, self._arrive, call_attempt, request)

    def _arrive(self, call_attempt: CallAttempt, request: CallerRequest) -> None:
        if not call_attempt.is_open:
            return
        if call_attempt.host.is_up:
            call_attempt.host.receive_request(request, call_attempt)
            if call_attempt.host.is_paused:
                self.simulation.heap.call_later(
                    PAUSE_DETECTION_MS, self.handle_pause, call_attempt.host
                )
            return
        delay_ms = self.simulation.network.settings.client_ms
        self.simulation.heap.call_later(delay_ms, call_attempt.broken)

    def _write_request(self, call: Call, request_id: str) -> CallerRequest:
        call_class = call.call_class
        is_chat = not call_class.service
        return CallerRequest(
            request_id=request_id,
            token=f'token-{call.organisation}',
            class_name=call_class.name,
            model=self.simulation.model if is_chat else '',
            service=call_class.service,
            method='POST',
            path=CHAT_PATH if is_chat else f'/{call_class.name}',
            body=build_continuation_body(call) if call_class.idempotent else call.body,
            stream=call_class.stream and is_chat,
            prompt_tokens=estimate_tokens(call.prompt) if is_chat else 0,
            max_tokens=self.simulation.max_tokens if is_chat else 0,
            prefix_hashes=hash_prefixes(call.prompt) if is_chat else (),
            key=call.key,
            handle=build_continuation_handle(call) if call_class.idempotent else '',
        )

    def _pick(self, call: Call, location: str) -> InstanceHost | None:
        if location:
            host, _, port = location.rpartition(':')
            return self.simulation.find_by_caller_port(host, int(port))
        known_instances = self._known_instances.get(call.organisation)
        now_ms = self.simulation.heap.now_ms
        if (
            known_instances is None
            or known_instances.until_ms <= now_ms
            or not known_instances.names
        ):
            known_instances = self._discover(call.organisation)
        if known_instances is None:
            return None
        return self.simulation.instances[self._rng.choice(known_instances.names)]

    def _discover(self, organisation: str) -> KnownInstances | None:
        """Query any available instance; callers know some addresses in advance."""
        hosts = [
            host
            for host in self.simulation.instances.values()
            if host.is_up and not host.is_paused and not host.is_leaving
        ]
        self._rng.shuffle(hosts)
        for host in hosts:
            try:
                answer = self.simulation.discover(host, organisation)
            except SavorychuteError:
                continue
            names = tuple(member.instance for member in answer.addresses)
            known_instances = KnownInstances(
                names, self.simulation.heap.now_ms + answer.lifetime_ms
            )
            if names:
                self._known_instances[organisation] = known_instances
                return known_instances
        return None

    def _remove_instance(self, organisation: str, name: str) -> None:
        known_instances = self._known_instances.get(organisation)
        if known_instances is not None and name in known_instances.names:
            names = tuple(other for other in known_instances.names if other != name)
            self._known_instances[organisation] = known_instances._replace(names=names)

    def _give_up(self, call: Call) -> None:
        if call.is_finished:
            return
        call_attempt = self._open_attempts.pop(call.call_id, None)
        if call_attempt is not None:
            call_attempt.leave()
        self._end(call, 'nothing', ResultCode.CALLER_LEFT)

    def _end(self, call: Call, outcome: str, code: ResultCode) -> None:
        if call.is_finished:
            return
        self._open_attempts.pop(call.call_id, None)
        call.ended_ms = self.simulation.heap.now_ms
        call.outcome = outcome
        call.code = code
        if outcome != 'answered':
            self.refusals += 1
