"""A whole system with a virtual clock: instances, endpoints, platform, callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from savorychute.errors import SavorychuteError
from savorychute.inputs import OperatorCommand, ShutdownRequested
from savorychute.member_address import MemberAddress
from savorychute.result_code import ResultCode
from savorychute.testing.callers import Callers
from savorychute.testing.configuration_monitor import ConfigurationMonitor
from savorychute.testing.fleet import Fleet
from savorychute.testing.instance_host import InstanceHost
from savorychute.testing.matrix import steps
from savorychute.testing.tokens import OPERATOR_TOKEN

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.actions import OperatorReply
    from savorychute.testing.instance_factory import InstanceFactory
    from savorychute.testing.topology import Topology

FIRST_CALLER_PORT = 8_000
FIRST_PEER_PORT = 9_000
ADDRESS_PREFIX = '10.0.0.'
MIN_CLOCK_MS = 1_000_000
MAX_CLOCK_MS = 2_000_000_000
EPOCH_MS = 1_700_000_000_000
CONFIGURE_TIMEOUT_MS = 30_000.0
POLL_INTERVAL_MS = 100.0
COMMAND_GAP_MS = 20.0


class Reply(NamedTuple):
    """A reply to an operator and its time."""

    at_ms: float
    reply: OperatorReply


class Simulation(Fleet):
    """A simulated system, built from a topology and a seed.

    :param topology: the components of the system.
    :param seed: the seed of all random choices.
    :param make_instance: creates each instance.
    """

    def __init__(
        self, topology: Topology, seed: int, make_instance: InstanceFactory
    ) -> None:
        super().__init__(topology, seed)
        self.callers = Callers(self, self.make_rng('callers'))
        self.configuration_monitor = ConfigurationMonitor(self)
        self.replies: dict[str, Reply] = {}
        self.interrupted_by_shutdown: dict[str, int] = {}
        self.poison_calls: set[str] = set()
        self.poison_count = 0
        self.documents = {
            document['organisation']: dict(document) for document in topology.contracts
        }
        self.class_rates: dict[str, float] = {}
        self.last_fault_ms = 0.0
        self._make_instance = make_instance
        self._started_instances = 0
        self._commands = 0
        self._requested_drains: dict[str, bool] = {}
        self._base_versions: dict[str, int] = {}
        for domain in topology.instance_domains:
            self.start_instance(domain)

    # -- construction

    def start_instance(self, domain: str, name: str = '') -> InstanceHost:
        """Start an instance under a new name, or restart it under a known one."""
        self._started_instances += 1
        number = self._started_instances
        name = name or f'entry-{number:02d}'
        previous = self.instances.get(name)
        incarnation = 1 if previous is None else previous.address.incarnation + 1
        address = MemberAddress(
            instance=name,
            incarnation=incarnation,
            region=self.topology.region,
            failure_domain=domain,
            host=f'{ADDRESS_PREFIX}{number}',
            caller_port=FIRST_CALLER_PORT + number,
            peer_port=FIRST_PEER_PORT + number,
        )
        rng = self.make_rng(f'{name}.{incarnation}')
        clock_ms = float(rng.randint(MIN_CLOCK_MS, MAX_CLOCK_MS))
        epoch_offset_ms = int(EPOCH_MS - clock_ms)
        instance = self._make_instance(address, rng, epoch_offset_ms)
        host = InstanceHost(
            self,
            address,
            instance,
            clock_ms,
            self.find_peer,
            self.handle_operator_reply,
        )
        self.instances[name] = host
        self.listing.put(address, self.heap.now_ms)
        host.start()
        return host

    def configure(self) -> None:
        """Enter all contracts and endpoints, and wait until they are in force.

        :raises SavorychuteError: if this takes longer than ``CONFIGURE_TIMEOUT_MS``.
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
        end_ms = self.heap.now_ms + CONFIGURE_TIMEOUT_MS
        while not self._is_configured(commands):
            if self.heap.now_ms >= end_ms:
                raise SavorychuteError(self._describe_unconfigured(commands))
            self.run_for(POLL_INTERVAL_MS)
        self.run_for(self.topology.settle_ms)
        self.configuration_monitor.start()

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
        open_commands = [name for name in commands if name not in self.replies]
        ready_instances = [
            host.name for host in self.instances.values() if host.instance.ready
        ]
        return (
            f'configuration not in force everywhere: {len(open_commands)} commands'
            f' without a reply; ready instances: {ready_instances}'
        )

    # -- time

    def run_for(self, duration_ms: float) -> None:
        """Advance the time."""
        self.heap.run_until(self.heap.now_ms + duration_ms)

    # -- operators

    def command(
        self, verb: str, arguments: Mapping[str, object], instance: str = ''
    ) -> str:
        """Send an operator's command and return its id.

        :param instance: the receiving instance; the first serving one if empty.
        """
        self._commands += 1
        command_id = f'command-{self._commands}'
        body = msgspec.json.encode(arguments)
        base_version = arguments.get('base_version')
        if isinstance(base_version, int):
            self._base_versions[command_id] = base_version
        host = self.instances[instance] if instance else self.find_serving_instance()
        message = OperatorCommand(command_id, OPERATOR_TOKEN, verb, body)
        delay_ms = self.network.settings.client_ms
        self.heap.call_later(delay_ms, self._deliver_command, host, message)
        return command_id

    def _deliver_command(self, host: InstanceHost, message: OperatorCommand) -> None:
        self.reached(steps.COMMANDED, message.command_id, host.name)
        host.deliver(message)

    def handle_operator_reply(self, reply: OperatorReply) -> None:
        """Store a reply to an operator, and record accepted changes."""
        self.replies[reply.command_id] = Reply(self.heap.now_ms, reply)
        self.reached(steps.REPLIED, reply.command_id, '')
        if reply.code is not ResultCode.OK:
            return
        verdict = msgspec.json.decode(reply.document, type=dict)
        if verdict.get('accepted'):
            base_version = self._base_versions.get(reply.command_id)
            self._record_accepted(verdict['item'], verdict['version'], base_version)

    def _record_accepted(
        self, item: str, version: int, base_version: int | None
    ) -> None:
        self.configuration_monitor.record_accepted(item, version, base_version)
        kind, _, name = item.partition(':')
        host = self.endpoints.get(name) if kind == 'endpoint' else None
        if host is not None and self._requested_drains.pop(name, False):
            self.ledger.leaving_ms.setdefault(name, self.heap.now_ms)

    def drain(self, endpoint: str) -> str:
        """Let an operator drain an endpoint; return the id of the command."""
        self._requested_drains[endpoint] = True
        arguments = {'endpoint': endpoint, 'why': 'drain'}
        return self.command('endpoint-drain', arguments)

    def leave(self, endpoint: str) -> None:
        """Let an endpoint leave on its own: it refuses new work."""
        self.endpoints[endpoint].leave()
        self.listing.mark_leaving(endpoint, self.heap.now_ms)

    # -- replacement of instances

    def shut_down(self, name: str) -> None:
        """Shut an instance down gracefully; it stops when it is idle."""
        host = self.instances[name]
        host.is_leaving = True
        self.listing.mark_leaving(name, self.heap.now_ms)
        host.deliver(ShutdownRequested())
        self.heap.call_later(self.topology.leave_grace_ms, self._stop_if_idle, host)

    def _stop_if_idle(self, host: InstanceHost) -> None:
        if not host.is_up:
            return
        if host.instance.idle:
            if host.caller_connections:
                self.interrupted_by_shutdown[host.name] = len(host.caller_connections)
            host.is_up = False
            self.listing.delete(host.name, self.heap.now_ms)
            return
        self.heap.call_later(POLL_INTERVAL_MS, self._stop_if_idle, host)

    def replace_instance(self, host: InstanceHost, domain: str) -> None:
        """Start a new instance in place of a stopped one."""
        self.listing.delete(host.name, self.heap.now_ms)
        self.start_instance(domain)
