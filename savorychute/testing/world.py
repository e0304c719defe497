"""A whole system on a virtual clock: instances, endpoints, platform, callers."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from savorychute.errors import SavorychuteError
from savorychute.inputs import OperatorCommand, ShutdownRequested
from savorychute.member_address import MemberAddress
from savorychute.result_code import ResultCode
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.callers import Callers
from savorychute.testing.configuration_watch import ConfigurationWatch
from savorychute.testing.engine import ModelEngine
from savorychute.testing.engine_host import EngineHost
from savorychute.testing.event_heap import EventHeap
from savorychute.testing.instance_host import InstanceHost
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.ledger import Ledger
from savorychute.testing.matrix import steps
from savorychute.testing.network import Network
from savorychute.testing.plain_service import PlainService
from savorychute.testing.service_host import ServiceHost
from savorychute.testing.tier_watch import TierWatch
from savorychute.testing.tokens import OPERATOR_TOKEN
from savorychute.testing.weight_store import WeightStore

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.actions import OperatorReply, StartAttempt
    from savorychute.membership.discovery_answer import DiscoveryAnswer
    from savorychute.testing.call import Call
    from savorychute.testing.endpoint_host import EndpointHost
    from savorychute.testing.instance_factory import InstanceFactory
    from savorychute.testing.ledger import Telling
    from savorychute.testing.matrix.probe import Probe
    from savorychute.testing.topology import Topology

FIRST_CALLER_PORT = 8_000
FIRST_PEER_PORT = 9_000
LOOPBACK_PREFIX = '10.0.0.'
EARLIEST_CLOCK_MS = 1_000_000
LATEST_CLOCK_MS = 2_000_000_000
EPOCH_MS = 1_700_000_000_000
CONFIGURED_WITHIN_MS = 30_000.0
CONFIGURE_STEP_MS = 100.0
COMMAND_GAP_MS = 20.0


class Reply(NamedTuple):
    """An operator's answer and when it came."""

    at_ms: float
    reply: OperatorReply


class World:
    """Everything of one run, made from a topology and a seed.

    :param topology: what there is.
    :param seed: of every random choice.
    :param make_instance: makes each instance.
    """

    def __init__(
        self, topology: Topology, seed: int, make_instance: InstanceFactory
    ) -> None:
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
        self.callers = Callers(self, self.make_rng('callers'))
        self.endpoints: dict[str, EndpointHost] = {}
        self.instances: dict[str, InstanceHost] = {}
        self.replies: dict[str, Reply] = {}
        self.tier_watch = TierWatch()
        self.configuration_watch = ConfigurationWatch(self)
        self.calls_by_request: dict[str, Call] = {}
        self.sent_ms_by_request: dict[str, float] = {}
        self.key_by_request: dict[str, str] = {}
        self.cut_by_shutdown: dict[str, int] = {}
        self.reachable_since_ms = 0.0
        self.poison_calls: set[str] = set()
        self.poisons = 0
        self.documents = {
            document['organisation']: dict(document) for document in topology.contracts
        }
        self.class_rates: dict[str, float] = {}
        self.attempts = 0
        self.probe: Probe | None = None
        self.last_fault_ms = 0.0
        self._make_instance = make_instance
        self._started_instances = 0
        self._commands = 0
        self._drains: dict[str, bool] = {}
        self._base_versions: dict[str, int] = {}
        self._make_endpoints()
        for domain in topology.instance_domains:
            self.start_instance(domain)

    def make_rng(self, name: str) -> Random:
        """Return a random source of its own for one purpose."""
        return Random(f'{self.seed}:{name}')

    # -- building

    def start_instance(self, domain: str, name: str = '') -> InstanceHost:
        """Start an instance, of a new name or anew under a known one."""
        self._started_instances += 1
        number = self._started_instances
        name = name or f'entry-{number:02d}'
        earlier = self.instances.get(name)
        incarnation = 1 if earlier is None else earlier.address.incarnation + 1
        address = MemberAddress(
            instance=name,
            incarnation=incarnation,
            region=self.topology.region,
            failure_domain=domain,
            host=f'{LOOPBACK_PREFIX}{number}',
            caller_port=FIRST_CALLER_PORT + number,
            peer_port=FIRST_PEER_PORT + number,
        )
        rng = self.make_rng(f'{name}.{incarnation}')
        clock_ms = float(rng.randint(EARLIEST_CLOCK_MS, LATEST_CLOCK_MS))
        epoch_offset_ms = int(EPOCH_MS - clock_ms)
        instance = self._make_instance(address, rng, epoch_offset_ms)
        host = InstanceHost(self, address, instance, clock_ms)
        self.instances[name] = host
        self.listing.put(address, self.heap.now_ms)
        host.start()
        return host

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

    def configure(self) -> None:
        """Enter all contracts and endpoints, and wait until all are in force.

        :raises SavorychuteError: if that takes too long.
        """
        self.run_for(self.topology.settle_ms)
        commands = []
        for document in self.topology.contracts:
            arguments = {
                'organisation': document['organisation'],
                'base_version': 0,
                'document': document,
                'why': 'start',
            }
            commands.append(self.command('contract-amend', arguments))
            self.run_for(COMMAND_GAP_MS)
        for endpoint in self.endpoints.values():
            arguments = {
                'base_version': 0,
                'document': endpoint.document,
                'why': 'start',
            }
            commands.append(self.command('endpoint-add', arguments))
            self.run_for(COMMAND_GAP_MS)
        end_ms = self.heap.now_ms + CONFIGURED_WITHIN_MS
        while not self._is_configured(commands):
            if self.heap.now_ms >= end_ms:
                raise SavorychuteError(self._describe_unconfigured(commands))
            self.run_for(CONFIGURE_STEP_MS)
        self.run_for(self.topology.settle_ms)
        self.configuration_watch.start()

    def _is_configured(self, commands: list[str]) -> bool:
        if any(command_id not in self.replies for command_id in commands):
            return False
        offsets = {
            host.instance.status(host.now_ms())['configuration_offset']
            for host in self.instances.values()
            if host.is_up
        }
        ready = all(host.instance.ready for host in self.instances.values())
        return ready and len(offsets) == 1

    def _describe_unconfigured(self, commands: list[str]) -> str:
        missing = [name for name in commands if name not in self.replies]
        ready = [host.name for host in self.instances.values() if host.instance.ready]
        return f'no configuration: {len(missing)} open commands, ready: {ready}'

    # -- time

    def run_for(self, duration_ms: float) -> None:
        """Let time pass."""
        self.heap.run_until(self.heap.now_ms + duration_ms)

    # -- operators

    def command(
        self, verb: str, arguments: Mapping[str, object], instance: str = ''
    ) -> str:
        """Send an operator's command and return its id.

        :param instance: whom to ask; the first that serves if empty.
        """
        self._commands += 1
        command_id = f'command-{self._commands}'
        body = msgspec.json.encode(arguments)
        base_version = arguments.get('base_version')
        if isinstance(base_version, int):
            self._base_versions[command_id] = base_version
        host = self.instances[instance] if instance else self.first_serving()
        told = OperatorCommand(command_id, OPERATOR_TOKEN, verb, body)
        delay_ms = self.network.settings.client_ms
        self.heap.call_later(delay_ms, self._arrive_command, host, told)
        return command_id

    def _arrive_command(self, host: InstanceHost, told: OperatorCommand) -> None:
        self.reached(steps.COMMANDED, told.command_id, host)
        host.deliver(told)

    def operator_replied(self, reply: OperatorReply) -> None:
        """Keep an operator's answer; remember what was accepted."""
        self.replies[reply.command_id] = Reply(self.heap.now_ms, reply)
        self.reached(steps.REPLIED, reply.command_id, None)
        if reply.code is not ResultCode.OK:
            return
        verdict = msgspec.json.decode(reply.document, type=dict)
        if verdict.get('accepted'):
            base_version = self._base_versions.get(reply.command_id)
            self._note_accepted(verdict['item'], verdict['version'], base_version)

    def _note_accepted(self, item: str, version: int, base_version: int | None) -> None:
        self.configuration_watch.note_accepted(item, version, base_version)
        kind, _, name = item.partition(':')
        host = self.endpoints.get(name) if kind == 'endpoint' else None
        if host is not None and self._drains.pop(name, False):
            self.ledger.leaving_ms.setdefault(name, self.heap.now_ms)

    def drain(self, endpoint: str) -> str:
        """Let an operator drain an endpoint; return the command's id."""
        self._drains[endpoint] = True
        arguments = {'endpoint': endpoint, 'why': 'drain'}
        return self.command('endpoint-drain', arguments)

    def leave(self, endpoint: str) -> None:
        """Let an endpoint go away by itself: it refuses new work."""
        self.endpoints[endpoint].leave()
        self.listing.mark_leaving(endpoint, self.heap.now_ms)

    def first_serving(self) -> InstanceHost:
        """Return an instance that takes requests.

        :raises SavorychuteError: if there is none.
        """
        for host in self.instances.values():
            if host.is_serving:
                return host
        raise SavorychuteError('no instance serves')

    # -- what callers need

    def issue_key(self, host: InstanceHost, organisation: str) -> str:
        """Ask an instance for a request key; empty if it gives none."""
        try:
            return host.instance.issue_key(f'token-{organisation}', host.now_ms())
        except SavorychuteError:
            return ''

    def discover(self, host: InstanceHost, organisation: str) -> DiscoveryAnswer:
        """Ask an instance which instances an organisation should use."""
        return host.instance.discover(f'token-{organisation}')

    def find_caller_port(self, address: str, port: int) -> InstanceHost | None:
        """Return the instance that listens there for callers."""
        for host in self.instances.values():
            if (host.address.host, host.address.caller_port) == (address, port):
                return host
        return None

    def find_peer(self, address: str, port: int) -> InstanceHost | None:
        """Return the instance that listens there for other instances."""
        for host in self.instances.values():
            if host.address.peer_port == port and host.address.host == address:
                return host if host.is_up else None
        return None

    # -- replacing instances

    def shut_down(self, name: str) -> None:
        """Ask an instance to leave gracefully; it ends when it is idle."""
        host = self.instances[name]
        host.is_leaving = True
        self.listing.mark_leaving(name, self.heap.now_ms)
        host.deliver(ShutdownRequested())
        self.heap.call_later(self.topology.leave_grace_ms, self._end_if_idle, host)

    def _end_if_idle(self, host: InstanceHost) -> None:
        if not host.is_up:
            return
        if host.instance.idle:
            if host.tries:
                self.cut_by_shutdown[host.name] = len(host.tries)
            host.is_up = False
            self.listing.delete(host.name, self.heap.now_ms)
            return
        self.heap.call_later(CONFIGURE_STEP_MS, self._end_if_idle, host)

    def replace_instance(self, host: InstanceHost, domain: str) -> None:
        """Start a new instance in place of one that is gone."""
        self.listing.delete(host.name, self.heap.now_ms)
        self.start_instance(domain)

    def note_unreachable(self) -> None:
        """Note that instances may be unable to learn of changes."""
        self.reachable_since_ms = math.inf

    def note_reachable(self) -> None:
        """Note that they can learn of changes again."""
        self.reachable_since_ms = self.heap.now_ms

    # -- notes of the hosts

    def reached(self, step: str, subject: str, host: InstanceHost | None) -> None:
        """Tell the run's probe, if there is one, that something got so far.

        :param step: a name of :mod:`savorychute.testing.matrix.steps`.
        :param subject: the call or command.
        """
        if self.probe is not None:
            self.probe.reached(step, subject, host)

    def note_request(self, request_id: str, call: Call) -> None:
        """Note which call a request belongs to."""
        self.calls_by_request[request_id] = call
        self.sent_ms_by_request[request_id] = self.heap.now_ms
        self.key_by_request[request_id] = call.key

    def note_start(self, host: InstanceHost, start: StartAttempt) -> None:
        """Note that an instance began an attempt."""
        self.attempts += 1
        call = self.calls_by_request[start.request_id]
        if self.probe is not None:
            self.probe.note_endpoint(call.call_id, start.endpoint)
            self.probe.reached(steps.STARTED, call.call_id, host)
        self.tier_watch.started(host.name, start, call)

    def note_cancel(self, host: InstanceHost, start: StartAttempt, keep: bool) -> None:
        """Note that an instance gave an attempt up, or paused it."""
        if keep:
            self.tier_watch.paused(self.heap.now_ms, host.name, start.request_id)

    def note_left(self, host: InstanceHost, request_id: str) -> None:
        """Note that a caller left an instance."""
        code = ResultCode.CALLER_LEFT
        self.tier_watch.ended(self.heap.now_ms, host.name, request_id, code)

    def note_sent(self, host: InstanceHost, start: StartAttempt) -> None:
        """Note that the first byte of an attempt leaves."""
        if self.probe is not None:
            call = self.calls_by_request[start.request_id]
            self.probe.reached(steps.SENT, call.call_id, host)

    def note_answer(self, host: InstanceHost, start: StartAttempt, ended: bool) -> None:
        """Note that something of an answer reached its instance."""
        if self.probe is not None:
            call = self.calls_by_request[start.request_id]
            step = steps.ENDING if ended else steps.FIRST_TOKEN
            self.probe.reached(step, call.call_id, host)

    def note_telling(self, telling: Telling) -> None:
        """Note what an instance told a caller."""
        self.ledger.tellings.append(telling)
        self.tier_watch.ended(
            telling.at_ms, telling.instance, telling.request_id, telling.code
        )

    def note_breach(self, text: str) -> None:
        """Note a broken promise."""
        self.ledger.note_breach(self.heap.now_ms, text)
