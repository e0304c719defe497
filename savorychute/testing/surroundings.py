"""What all parts of one run share."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_host import EngineHost
from savorychute.testing.event_heap import EventHeap
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.ledger import Ledger
from savorychute.testing.matrix import steps
from savorychute.testing.network import Network
from savorychute.testing.plain_service import PlainService
from savorychute.testing.service_host import ServiceHost
from savorychute.testing.tier_watch import TierWatch
from savorychute.testing.weight_store import WeightStore

if TYPE_CHECKING:
    from savorychute.actions import StartAttempt
    from savorychute.testing.call import Call
    from savorychute.testing.endpoint_host import EndpointHost
    from savorychute.testing.ledger import Telling
    from savorychute.testing.matrix.probe import Probe
    from savorychute.testing.topology import Topology


class Surroundings:
    """Time, network, platform and endpoints of a run, and the notes of what happens.

    :param topology: what there is.
    :param seed: of every random choice.
    """

    def __init__(self, topology: Topology, seed: int) -> None:
        self.topology = topology
        self.seed = seed
        self.model = topology.model
        self.max_tokens = topology.max_tokens
        self.heap = EventHeap()
        self.ledger = Ledger()
        self.network = Network(topology.network, self.make_rng('network'))
        self.log = AppendLog(LogSettings(), self.make_rng('log'))
        self.listing = InstanceList(lag_ms=topology.listing_lag_ms)
        self.store = WeightStore()
        self.endpoints: dict[str, EndpointHost] = {}
        self.tier_watch = TierWatch()
        self.calls_by_request: dict[str, Call] = {}
        self.sent_ms_by_request: dict[str, float] = {}
        self.key_by_request: dict[str, str] = {}
        self.reachable_since_ms = 0.0
        self.attempts = 0
        self.probe: Probe | None = None
        self._make_endpoints()

    def make_rng(self, name: str) -> Random:
        """Return a random source of its own for one purpose."""
        return Random(f'{self.seed}:{name}')

    def _make_endpoints(self) -> None:
        for spec in self.topology.engines:
            rng = self.make_rng(spec.document['endpoint'])
            engine = ModelEngine(spec.settings, rng, self.store)
            name = spec.document['endpoint']
            self.endpoints[name] = EngineHost(
                self.heap, self.ledger, spec.document, engine
            )
        for service in self.topology.services:
            name = service.document['endpoint']
            core = PlainService(service.settings)
            self.endpoints[name] = ServiceHost(
                self.heap, self.ledger, service.document, core
            )

    def note_unreachable(self) -> None:
        """Note that instances may be unable to learn of changes."""
        self.reachable_since_ms = math.inf

    def note_reachable(self) -> None:
        """Note that they can learn of changes again."""
        self.reachable_since_ms = self.heap.now_ms

    def reached(self, step: str, subject: str, instance: str) -> None:
        """Tell the run's probe, if there is one, that something got so far.

        :param step: a name of :mod:`savorychute.testing.matrix.steps`.
        :param subject: the call or command.
        :param instance: where, or empty.
        """
        if self.probe is not None:
            self.probe.reached(step, subject, instance)

    def note_request(self, request_id: str, call: Call) -> None:
        """Note which call a request belongs to."""
        self.calls_by_request[request_id] = call
        self.sent_ms_by_request[request_id] = self.heap.now_ms
        self.key_by_request[request_id] = call.key

    def note_start(self, instance: str, start: StartAttempt) -> None:
        """Note that an instance began an attempt."""
        self.attempts += 1
        call = self.calls_by_request[start.request_id]
        if self.probe is not None:
            self.probe.note_endpoint(call.call_id, start.endpoint)
            self.probe.reached(steps.STARTED, call.call_id, instance)
        self.tier_watch.started(instance, start, call)

    def note_cancel(self, instance: str, start: StartAttempt, keep: bool) -> None:
        """Note that an instance gave an attempt up, or paused it."""
        if keep:
            self.tier_watch.paused(self.heap.now_ms, instance, start.request_id)

    def note_left(self, instance: str, request_id: str) -> None:
        """Note that a caller left an instance."""
        code = ResultCode.CALLER_LEFT
        self.tier_watch.ended(self.heap.now_ms, instance, request_id, code)

    def note_sent(self, instance: str, start: StartAttempt) -> None:
        """Note that the first byte of an attempt leaves."""
        if self.probe is not None:
            call = self.calls_by_request[start.request_id]
            self.probe.reached(steps.SENT, call.call_id, instance)

    def note_answer(self, instance: str, start: StartAttempt, ended: bool) -> None:
        """Note that something of an answer reached its instance."""
        if self.probe is not None:
            call = self.calls_by_request[start.request_id]
            step = steps.ENDING if ended else steps.FIRST_TOKEN
            self.probe.reached(step, call.call_id, instance)

    def note_telling(self, telling: Telling) -> None:
        """Note what an instance told a caller."""
        self.ledger.tellings.append(telling)
        self.tier_watch.ended(
            telling.at_ms, telling.instance, telling.request_id, telling.code
        )

    def note_breach(self, text: str) -> None:
        """Note a broken promise."""
        self.ledger.note_breach(self.heap.now_ms, text)
