"""The environment that all parts of a simulation share."""

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
from savorychute.testing.tier_monitor import TierMonitor
from savorychute.testing.weight_store import WeightStore

if TYPE_CHECKING:
    from savorychute.actions import StartAttempt
    from savorychute.testing.call import Call
    from savorychute.testing.endpoint_host import EndpointHost
    from savorychute.testing.ledger import ReportedOutcome
    from savorychute.testing.matrix.probe import Probe
    from savorychute.testing.topology import Topology


class Environment:
    """Time, network, platform, endpoints and recorded events of a simulation.

    :param topology: the components of the system.
    :param seed: the seed of all random choices.
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
        self.weight_store = WeightStore()
        self.endpoints: dict[str, EndpointHost] = {}
        self.tier_monitor = TierMonitor()
        self.calls_by_request: dict[str, Call] = {}
        self.sent_ms_by_request: dict[str, float] = {}
        self.key_by_request: dict[str, str] = {}
        self.reachable_since_ms = 0.0
        self.attempts = 0
        self.probe: Probe | None = None
        self._make_endpoints()

    def make_rng(self, name: str) -> Random:
        """Return a separate random generator for one purpose."""
        return Random(f'{self.seed}:{name}')

    def _make_endpoints(self) -> None:
        for spec in self.topology.engines:
            rng = self.make_rng(spec.document['endpoint'])
            engine = ModelEngine(spec.settings, rng, self.weight_store)
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

    def mark_unreachable(self) -> None:
        """Record that instances may be unable to receive changes."""
        self.reachable_since_ms = math.inf

    def mark_reachable(self) -> None:
        """Record that instances can receive changes again."""
        self.reachable_since_ms = self.heap.now_ms

    def reached(self, step: str, subject: str, instance: str) -> None:
        """Notify the probe, if there is one, that a subject reached a step.

        :param step: a constant of :mod:`savorychute.testing.matrix.steps`.
        :param subject: the id of the call or command.
        :param instance: the name of the instance, or empty.
        """
        if self.probe is not None:
            self.probe.reached(step, subject, instance)

    def record_request(self, request_id: str, call: Call) -> None:
        """Record the call that a request belongs to."""
        self.calls_by_request[request_id] = call
        self.sent_ms_by_request[request_id] = self.heap.now_ms
        self.key_by_request[request_id] = call.key

    def record_start(self, instance: str, start: StartAttempt) -> None:
        """Record that an instance started an attempt."""
        self.attempts += 1
        call = self.calls_by_request[start.request_id]
        if self.probe is not None:
            self.probe.record_endpoint(call.call_id, start.endpoint)
            self.probe.reached(steps.STARTED, call.call_id, instance)
        self.tier_monitor.started(instance, start, call)

    def record_cancel(self, instance: str, start: StartAttempt, keep: bool) -> None:
        """Record that an instance cancelled an attempt or paused its stream."""
        if keep:
            self.tier_monitor.paused(self.heap.now_ms, instance, start.request_id)

    def record_caller_left(self, instance: str, request_id: str) -> None:
        """Record that a caller disconnected from an instance."""
        code = ResultCode.CALLER_LEFT
        self.tier_monitor.ended(self.heap.now_ms, instance, request_id, code)

    def record_sent(self, instance: str, start: StartAttempt) -> None:
        """Record that the first byte of an attempt is sent."""
        if self.probe is not None:
            call = self.calls_by_request[start.request_id]
            self.probe.reached(steps.SENT, call.call_id, instance)

    def record_answer(self, instance: str, start: StartAttempt, ended: bool) -> None:
        """Record that a part of an answer reached its instance."""
        if self.probe is not None:
            call = self.calls_by_request[start.request_id]
            step = steps.ENDING if ended else steps.FIRST_TOKEN
            self.probe.reached(step, call.call_id, instance)

    def record_reported_outcome(self, reported: ReportedOutcome) -> None:
        """Record the outcome that an instance reported to a caller."""
        self.ledger.reported_outcomes.append(reported)
        self.tier_monitor.ended(
            reported.at_ms, reported.instance, reported.request_id, reported.code
        )

    def record_violation(self, text: str) -> None:
        """Record a violated invariant."""
        self.ledger.record_violation(self.heap.now_ms, text)
