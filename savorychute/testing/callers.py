"""All callers of a virtual run: what their client library does for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.endpoints.prompt_blocks import estimate_tokens, hash_prefixes
from savorychute.errors import SavorychuteError
from savorychute.inputs import CallerRequest
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.testing.call_try import CallTry, continue_body, continue_handle
from savorychute.testing.matrix import steps
from savorychute.testing.refusal import BROKEN, UNREADY, Refusal

if TYPE_CHECKING:
    from random import Random

    from savorychute.testing.call import Call
    from savorychute.testing.fleet import Fleet
    from savorychute.testing.instance_host import InstanceHost

CHAT_PATH = '/v1/chat/completions'
MAX_FAILURES = 5
MAX_REDIRECTS = 5
MIN_BACK_OFF_MS = 20.0
MAX_BACK_OFF_MS = 2_000.0
PATIENCE_MS = 3_000.0
PAUSE_NOTICED_MS = 3_000.0


ELSEWHERE_CODES = frozenset((ResultCode.SHUTTING_DOWN, ResultCode.NOT_READY))
SPENT_KEY_CODES = frozenset((ResultCode.KEY_REVOKED, ResultCode.KEY_TOO_OLD))


class KnownInstances(NamedTuple):
    """A discovery answer and when it runs out."""

    names: tuple[str, ...]
    until_ms: float


class Callers:
    """Sends calls, and goes on when an instance fails.

    :param world: the run.
    :param rng: picks instances.
    """

    def __init__(self, world: Fleet, rng: Random) -> None:
        self.world = world
        self.calls: list[Call] = []
        self.refusals = 0
        self.failovers = 0
        self._rng = rng
        self._known: dict[str, KnownInstances] = {}
        self._numbered = 0
        self._open: dict[str, CallTry] = {}

    def begin(self, call: Call) -> None:
        """Make a call now."""
        call.begun_ms = self.world.heap.now_ms
        self.calls.append(call)
        timeout_ms = call.call_class.timeout_ms + PATIENCE_MS
        self.world.heap.call_later(timeout_ms, self._give_up, call)
        self._try(call, '')

    def answered(self, call: Call, call_try: CallTry) -> None:
        """Take a whole answer and compare it with what is due."""
        self.world.reached(steps.ANSWERED, call.call_id, call_try.host.name)
        if call.text != call.answer:
            self.world.note_breach(
                f'call {call.call_id}: {len(call.text)} bytes passed off as the'
                f' whole answer of {len(call.answer)}'
            )
        self._end(call, 'answered', ResultCode.OK)

    def failed(self, call: Call, refusal: Refusal, call_try: CallTry) -> None:
        """Go on after a refusal or a cut answer, or take it as the end.

        The rules are those of :class:`savorychute.client.call_execution.CallExecution`.
        """
        self._open.pop(call.call_id, None)
        if refusal.location and call.redirects < MAX_REDIRECTS:
            call.redirects += 1
            self._again(call, refusal, 0.0, refusal.location)
        elif refusal.code in ELSEWHERE_CODES:
            self._forget_instance(call.organisation, call_try.host.name)
            self._again(call, refusal, self._back_off_ms(call))
        elif refusal.code in SPENT_KEY_CODES and refusal.ran is Ran.NOT_RUN:
            call.key = ''
            self._again(call, refusal, 0.0)
        elif refusal.is_cut:
            self._repeat(call, refusal, self._back_off_ms(call))
        elif refusal.ran is Ran.NOT_RUN and refusal.retry_after_ms > 0:
            self._again(call, refusal, refusal.retry_after_ms)
        elif call.call_class.idempotent and refusal.retry_after_ms > 0:
            self._repeat(call, refusal, refusal.retry_after_ms)
        else:
            self._end(call, str(refusal.ran), refusal.code)

    def try_broke(self, call: Call, call_try: CallTry) -> None:
        """Go on at another instance after a connection broke."""
        self._open.pop(call.call_id, None)
        self.failovers += 1
        self._forget_instance(call.organisation, call_try.host.name)
        self._repeat(call, BROKEN, self._back_off_ms(call))

    def notice_pause(self, host: InstanceHost) -> None:
        """Let callers leave an instance that has been silent for too long."""
        if not host.is_paused:
            return
        for call_try in list(self._open.values()):
            if call_try.host is host and call_try.is_open:
                call_try.leave()
                self.try_broke(call_try.call, call_try)

    def _repeat(self, call: Call, refusal: Refusal, wait_ms: float) -> None:
        """Try again although the request may have run."""
        call.failures += 1
        if call.failures > MAX_FAILURES:
            self._end(call, str(refusal.ran), refusal.code)
            return
        self._again(call, refusal, wait_ms)

    def _again(
        self, call: Call, refusal: Refusal, wait_ms: float, location: str = ''
    ) -> None:
        if call.is_over:
            return
        heap = self.world.heap
        if heap.now_ms + wait_ms >= call.deadline_ms:
            self._end(call, str(refusal.ran), refusal.code)
            return
        heap.call_later(wait_ms, self._try, call, location)

    def _back_off_ms(self, call: Call) -> float:
        call.waits += 1
        longest_ms = min(MAX_BACK_OFF_MS, MIN_BACK_OFF_MS * 2 ** min(call.waits, 16))
        return self._rng.uniform(0.0, longest_ms)

    def _try(self, call: Call, location: str) -> None:
        if call.is_over:
            return
        call.tries += 1
        host = self._pick(call, location)
        if host is None:
            self._again(call, UNREADY, self._back_off_ms(call))
            return
        delay_ms = self.world.network.settings.client_ms
        needs_key = not call.call_class.idempotent and not call.key
        if needs_key:
            self.world.heap.call_later(delay_ms, self._ask_key, call, host)
            return
        self._send(call, host)

    def _ask_key(self, call: Call, host: InstanceHost) -> None:
        """Let the instance that will get the call issue its key."""
        delay_ms = self.world.network.settings.client_ms
        self.world.reached(steps.KEYED, call.call_id, host.name)
        key = ''
        if host.is_up and not host.is_paused:
            key = self.world.issue_key(host, call.organisation)
        if not key:
            self._forget_instance(call.organisation, host.name)
            self._again(call, UNREADY, self._back_off_ms(call))
            return
        call.key = key
        self.world.heap.call_later(delay_ms, self._send, call, host)

    def _send(self, call: Call, host: InstanceHost) -> None:
        if call.is_over:
            return
        self._numbered += 1
        request_id = f'{host.name}-{host.address.incarnation:x}-{self._numbered:x}'
        call_try = CallTry(self, call, host, request_id)
        self._open[call.call_id] = call_try
        request = self._write_request(call, request_id)
        self.world.note_request(request_id, call)
        delay_ms = self.world.network.settings.client_ms
        self.world.heap.call_later(delay_ms, self._arrive, call_try, request)

    def _arrive(self, call_try: CallTry, request: CallerRequest) -> None:
        if not call_try.is_open:
            return
        if call_try.host.is_up:
            call_try.host.take_request(request, call_try)
            if call_try.host.is_paused:
                self.world.heap.call_later(
                    PAUSE_NOTICED_MS, self.notice_pause, call_try.host
                )
            return
        delay_ms = self.world.network.settings.client_ms
        self.world.heap.call_later(delay_ms, call_try.broken)

    def _write_request(self, call: Call, request_id: str) -> CallerRequest:
        wanted = call.call_class
        is_chat = not wanted.service
        return CallerRequest(
            request_id=request_id,
            token=f'token-{call.organisation}',
            class_name=wanted.name,
            model=self.world.model if is_chat else '',
            service=wanted.service,
            method='POST',
            path=CHAT_PATH if is_chat else f'/{wanted.name}',
            body=continue_body(call) if wanted.idempotent else call.body,
            stream=wanted.stream and is_chat,
            prompt_tokens=estimate_tokens(call.prompt) if is_chat else 0,
            max_tokens=self.world.max_tokens if is_chat else 0,
            prefix_hashes=hash_prefixes(call.prompt) if is_chat else (),
            key=call.key,
            handle=continue_handle(call) if wanted.idempotent else '',
        )

    def _pick(self, call: Call, location: str) -> InstanceHost | None:
        if location:
            host, _, port = location.rpartition(':')
            return self.world.find_caller_port(host, int(port))
        known = self._known.get(call.organisation)
        now_ms = self.world.heap.now_ms
        if known is None or known.until_ms <= now_ms or not known.names:
            known = self._discover(call.organisation)
        if known is None:
            return None
        return self.world.instances[self._rng.choice(known.names)]

    def _discover(self, organisation: str) -> KnownInstances | None:
        """Ask any instance that answers; a caller knows a few of old."""
        hosts = [
            host
            for host in self.world.instances.values()
            if host.is_up and not host.is_paused and not host.is_leaving
        ]
        self._rng.shuffle(hosts)
        for host in hosts:
            try:
                answer = self.world.discover(host, organisation)
            except SavorychuteError:
                continue
            names = tuple(member.instance for member in answer.addresses)
            known = KnownInstances(names, self.world.heap.now_ms + answer.lifetime_ms)
            if names:
                self._known[organisation] = known
                return known
        return None

    def _forget_instance(self, organisation: str, name: str) -> None:
        known = self._known.get(organisation)
        if known is not None and name in known.names:
            names = tuple(each for each in known.names if each != name)
            self._known[organisation] = known._replace(names=names)

    def _give_up(self, call: Call) -> None:
        if call.is_over:
            return
        call_try = self._open.pop(call.call_id, None)
        if call_try is not None:
            call_try.leave()
        self._end(call, 'nothing', ResultCode.CALLER_LEFT)

    def _end(self, call: Call, told: str, code: ResultCode) -> None:
        if call.is_over:
            return
        self._open.pop(call.call_id, None)
        call.ended_ms = self.world.heap.now_ms
        call.told = told
        call.code = code
        if told != 'answered':
            self.refusals += 1
