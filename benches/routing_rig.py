"""Instances that route requests to stand-in engines on a virtual clock.

Only routing is simulated, without admission, credits and retries.  An instance
sends each request at once, and excess requests wait in the queue of the engine.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from savorychute.inputs.load_reported import LoadReported
from savorychute.routing import ROUTERS, EndpointTable, RoutingRequest, RoutingSettings
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_events import StreamEnded, StreamTokens
from savorychute.testing.engine_request import EngineRequest
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.prompt_blocks import hash_blocks

if TYPE_CHECKING:
    from collections.abc import Callable

POOL = 'pump-diagnosis'
TICK_MS = 50
DOMAINS = ('kochi-hall', 'thrissur-hall', 'kozhikode-hall')
CHARS_PER_TOKEN = 4


class RoutingScenario(NamedTuple):
    """A load and its disturbances.

    Requests arrive at random at ``requests_per_s``, three times as many during
    the second that starts at ``burst_ms``.  ``straggler`` is the factor by which
    the first engine becomes slower at ``straggler_ms``.  ``small_engines`` have
    half the slots and twice the step time of the others.
    """

    name: str
    requests_per_s: float
    duration_ms: int = 15_000
    instances: int = 8
    engines: int = 9
    report_lag_ms: float = 100.0
    straggler: float = 1.0
    straggler_ms: int = 4_000
    burst_ms: int = -1
    prompt_tokens: int = 600
    shared_tokens: int = 512
    prefixes: int = 40
    output_tokens: float = 150.0
    small_engines: int = 0


class RoutingFigures(NamedTuple):
    """Times to first token and between tokens in ms, and the share in time."""

    requests: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    mean_ms: float
    in_time_share: float
    gap_p95_ms: float


class RoutingSimulation:
    """Simulates one scenario with one router.

    :param scenario: the scenario.
    :param router: the registered name of a router.
    :param settings: settings of the router and of the endpoint tables.
    :param seed: seed of all random numbers.
    """

    target_ms = 250.0
    gap_target_ms = 20.0

    def __init__(
        self,
        scenario: RoutingScenario,
        router: str,
        settings: RoutingSettings,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = itertools.count()
        self._first_ms: dict[str, float] = {}
        self._started: dict[str, tuple[float, EndpointTable, float]] = {}
        self._last_ms: dict[str, float] = {}
        self._gaps_ms: list[float] = []
        self._in_time = 0
        self._make_engines()
        self._make_instances(router, settings)

    def _make_engines(self) -> None:
        self.engines = {}
        self.documents = {}
        for number in range(self.scenario.engines):
            name = f'engine-{number}'
            engine_settings = EngineSettings(
                name=name, models=(POOL,), report_lag_ms=self.scenario.report_lag_ms
            )
            if number >= self.scenario.engines - self.scenario.small_engines:
                engine_settings = engine_settings._replace(
                    max_running=engine_settings.max_running // 2,
                    step_ms=2 * engine_settings.step_ms,
                )
            self.engines[name] = ModelEngine(engine_settings, random.Random(number))
            self.documents[name] = {
                'endpoint': name,
                'dialect': 'openai',
                'host': '',
                'port': 0,
                'region': 'kerala',
                'failure_domain': DOMAINS[number % 3],
                'state': 'active',
                'concurrent_requests': engine_settings.max_running,
                'models': [POOL],
            }
        self._wake_times_ms = dict.fromkeys(self.engines, -1.0)

    def _make_instances(self, router: str, settings: RoutingSettings) -> None:
        self.tables = []
        self.routers = []
        for number in range(self.scenario.instances):
            rng = random.Random(self.rng.getrandbits(32))
            table = EndpointTable(settings, rng, DOMAINS[number % 3], 'kerala')
            table.set_endpoints(self.documents)
            self.tables.append(table)
            self.routers.append(ROUTERS.get(router)(settings, table, rng))

    def at(self, when_ms: float, call: Callable[[float], None]) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self._events, (when_ms, next(self._event_numbers), call))

    def run(self) -> RoutingFigures:
        """Run the scenario to its end and return the figures."""
        scenario = self.scenario
        self._schedule_arrivals()
        for table in self.tables:
            self._schedule_polls(table, self.rng.random() * TICK_MS)
        if scenario.straggler != 1.0:
            self.at(scenario.straggler_ms, self._slow_down)
        end_ms = scenario.duration_ms + 60_000
        while self._events and self._events[0][0] < end_ms:
            when_ms, _, call = heapq.heappop(self._events)
            call(when_ms)
            if len(self._first_ms) == self._arrivals and when_ms > scenario.duration_ms:
                break
        return self._summarise()

    def _schedule_arrivals(self) -> None:
        now_ms = 0.0
        self._arrivals = 0
        while now_ms < self.scenario.duration_ms:
            rate = self.scenario.requests_per_s
            if self.scenario.burst_ms <= now_ms < self.scenario.burst_ms + 1_000:
                rate *= 3
            now_ms += self.rng.expovariate(rate) * 1_000
            number = self._arrivals
            self.at(now_ms, lambda at_ms, number=number: self._arrive(number, at_ms))
            self._arrivals += 1

    def _schedule_polls(self, table: EndpointTable, first_ms: float) -> None:
        def tick(now_ms: float) -> None:
            for poll in table.due_polls(int(now_ms)):
                self._poll(table, poll, now_ms)
            self.at(now_ms + TICK_MS, tick)

        self.at(first_ms, tick)

    def _poll(self, table: EndpointTable, poll: object, now_ms: float) -> None:
        load = self.engines[poll.endpoint].report(poll.cache_cursor, now_ms)
        report = LoadReported(poll.endpoint, *load)
        distance_ms = table.state_of(poll.endpoint).distance_ms
        self.at(
            now_ms + distance_ms, lambda at_ms: table.apply_report(report, int(at_ms))
        )

    def _slow_down(self, now_ms: float) -> None:
        events = self.engines['engine-0'].set_slowdown(self.scenario.straggler, now_ms)
        self._handle_events('engine-0', events, now_ms)

    def _arrive(self, number: int, now_ms: float) -> None:
        scenario = self.scenario
        prompt = self._make_prompt(number)
        tokens = len(prompt) // CHARS_PER_TOKEN
        index = self.rng.randrange(scenario.instances)
        table = self.tables[index]
        hashes = hash_blocks(prompt)
        request = RoutingRequest(str(number), POOL, tokens, 150, hashes)
        choice = self.routers[index].choose(request, tuple(self.engines), int(now_ms))
        name = choice.endpoint
        attempt_id = str(number)
        distance_ms = table.state_of(name).distance_ms
        table.record_start(attempt_id, name, tokens, 150, hashes, int(now_ms))
        self._started[attempt_id] = (now_ms, table, distance_ms)
        engine_request = EngineRequest(attempt_id, attempt_id, POOL, prompt, 0)
        self.at(
            now_ms + distance_ms,
            lambda at_ms: self._handle_events(
                name, self.engines[name].submit(engine_request, at_ms), at_ms
            ),
        )

    def _make_prompt(self, number: int) -> str:
        scenario = self.scenario
        length = max(
            4, int(self.rng.lognormvariate(0, 0.7) * scenario.output_tokens * 0.78)
        )
        suffix = f'#tokens={length} request {number} '
        prefix_text = ''
        if scenario.shared_tokens:
            prefix = min(
                int(self.rng.expovariate(4 / scenario.prefixes)), scenario.prefixes
            )
            prefix_text = f'prefix {prefix:04} ' * (
                scenario.shared_tokens * CHARS_PER_TOKEN // 12
            )
        padding_chars = (
            scenario.prompt_tokens * CHARS_PER_TOKEN - len(prefix_text) - len(suffix)
        )
        return prefix_text + suffix + 'x' * max(0, padding_chars)

    def _handle_events(self, name: str, events: list[object], now_ms: float) -> None:
        for event in events:
            if isinstance(event, StreamTokens | StreamEnded):
                distance_ms = self._started[event.attempt_id][2]
                self.at(
                    now_ms + distance_ms,
                    lambda at_ms, event=event: self._receive_event(event, at_ms),
                )
        due_ms = self.engines[name].next_event_ms()
        if due_ms is not None and due_ms != self._wake_times_ms[name]:
            self._wake_times_ms[name] = due_ms
            self.at(due_ms, lambda at_ms: self._wake(name, at_ms))

    def _wake(self, name: str, now_ms: float) -> None:
        if self._wake_times_ms[name] == now_ms:
            self._wake_times_ms[name] = -1.0
            self._handle_events(name, self.engines[name].advance(now_ms), now_ms)

    def _receive_event(self, event: StreamTokens | StreamEnded, now_ms: float) -> None:
        attempt_id = event.attempt_id
        started_ms, table, _ = self._started[attempt_id]
        if isinstance(event, StreamEnded):
            table.record_finish(attempt_id, True, int(now_ms))
            return
        table.record_progress(attempt_id, event.token_count, int(now_ms))
        if attempt_id not in self._first_ms:
            self._first_ms[attempt_id] = now_ms - started_ms
        else:
            gap_ms = (now_ms - self._last_ms[attempt_id]) / event.token_count
            self._gaps_ms.append(gap_ms)
        self._last_ms[attempt_id] = now_ms

    def _summarise(self) -> RoutingFigures:
        first_times_ms = sorted(self._first_ms.values())
        first_times_ms += [60_000.0] * (self._arrivals - len(first_times_ms))
        gap_times_ms = sorted(self._gaps_ms)
        in_time = sum(first_ms <= self.target_ms for first_ms in first_times_ms)
        return RoutingFigures(
            len(first_times_ms),
            quantile(first_times_ms, 0.5),
            quantile(first_times_ms, 0.95),
            quantile(first_times_ms, 0.99),
            sum(first_times_ms) / len(first_times_ms),
            in_time / len(first_times_ms),
            quantile(gap_times_ms, 0.95),
        )


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of a sorted list."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
