"""A complete gateway with its sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.daemon.caller_exchange import CallerExchange
from savorychute.gateway.daemon.leaving import plan_leaving
from savorychute.gateway.discovery.advertised import NOT_READY
from savorychute.gateway.requests.refusal import Refusal
from savorychute.gateway.requests.request_execution import RequestExecution
from savorychute.gateway.settings.key_trust import key_trust_ms
from savorychute.gateway.settings.retry_bounds import read_bounds
from savorychute.gateway.translation_error import TranslationError
from savorychute.logs import LogLevel
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.daemon.duty_worker import DutyWorker
    from savorychute.gateway.daemon.peer_group import PeerGroup
    from savorychute.gateway.discovery.instance_directory import InstanceDirectory
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.requests.intake import Intake
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.http.http_server import HttpServer
    from savorychute.http.server_exchange import ServerExchange

LEAVING_STEP_MS = 50
HOUSEKEEPING_MS = 250
ELSEWHERE_MS = 50
# Between two summaries in the log: of what engines have shown, and of calls to the store.
# A line takes about 0.1 ms.
SUMMARY_MS = 5_000
# Callers reuse connections up to the announced idle time; closing a little later keeps
# a request from crossing the close.
IDLE_FACTOR = 1.25
METRICS_PATH = '/metrics'
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class GatewayHost:
    """Takes requests from the servers and gives each its course.

    :param settings: of the instance.
    :param parts: state and ports.
    :param intake: admits requests.
    :param adapter: how the platform, callers and endpoints speak.
    :param peers: the other instances.
    :param directory: what callers are told.
    :param duties: what this instance may do for all; None for nothing.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        parts: GatewayParts,
        intake: Intake,
        adapter: PlatformAdapter,
        peers: PeerGroup,
        directory: InstanceDirectory,
        duties: DutyWorker | None = None,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._intake = intake
        self._adapter = adapter
        self._peers = peers
        self._directory = directory
        self._duties = duties
        self._leaving_since_ms: int | None = None
        self._last_request_ms = 0
        self._summary_ms = 0
        self._plan = plan_leaving(settings.grace_s)
        self.in_progress = 0
        self.caller_server: HttpServer | None = None

    @property
    def ready(self) -> bool:
        """Whether callers should come here.

        An instance that the store turns away refuses keys after a while; callers find
        another one sooner if this one says so before they ask.
        """
        configuration = self._parts.configuration
        if self._leaving_since_ms is not None or configuration.table is None:
            return False
        now_ms = self._parts.clock.now_ms()
        return not configuration.table.needs_keys or configuration.trusts_keys(now_ms)

    def serve_callers(self, server: HttpServer) -> None:
        """Take the server that callers reach, once it listens.

        :param server: the server.
        """
        self.caller_server = server
        table = self._parts.configuration.table
        if table is not None:
            self.apply_limits(table.deployment)

    async def run(self) -> None:
        """Do what is due now and then, until the task is cancelled."""
        while True:
            version = self._parts.configuration.version
            self._peers.ready_version = version if self.ready else NOT_READY
            self._parts.roster.expire(self._parts.clock.now_ms())
            self._parts.telemetry.tell_omitted()
            self._summarise(self._parts.clock.now_ms())
            await asyncio.sleep(HOUSEKEEPING_MS / MS_PER_S)

    def _summarise(self, now_ms: int) -> None:
        if now_ms - self._summary_ms < SUMMARY_MS:
            return
        self._summary_ms = now_ms
        self._parts.telemetry.store_used()
        for service, figures in self._parts.engines.figures().items():
            self._parts.telemetry.engines_learned(service, figures)

    # -- requests

    def take_request(self, exchange: ServerExchange) -> None:
        """Take a caller's request.

        :param exchange: the request and the means to answer it.
        """
        now_ms = self._parts.clock.now_ms()
        self._last_request_ms = now_ms
        caller = CallerExchange(exchange, self._adapter)
        try:
            request = self._adapter.decode_request(exchange.request)
        except TranslationError as error:
            caller.refuse(Refusal(ResultCode.BAD_FIELD, Ran.NOT_RUN, error.message))
            return
        verdict = self._refuse_leaving(now_ms) or self._intake.admit(request, now_ms)
        if isinstance(verdict, Refusal):
            configuration = self._parts.configuration
            self._parts.telemetry.request_refused(
                request, verdict, configuration.version, configuration.age_ms(now_ms)
            )
            caller.refuse(verdict)
            return
        course = RequestExecution(self._parts, request, verdict, caller)
        exchange.on_left = course.caller_left
        self.in_progress += 1
        course.on_finished = self._note_finished
        course.start()

    def _note_finished(self) -> None:
        self.in_progress -= 1

    def _refuse_leaving(self, now_ms: int) -> Refusal | None:
        since_ms = self._leaving_since_ms
        if since_ms is None or now_ms - since_ms < self._plan.refuse_ms:
            return None
        code = ResultCode.SHUTTING_DOWN
        return Refusal(code, Ran.NOT_RUN, 'leaving', ELSEWHERE_MS)

    # -- the platform's and the callers' other questions

    def take_readiness(self, exchange: ServerExchange) -> None:
        """Answer whether this instance is ready."""
        if not self._adapter.is_readiness(exchange.request):
            exchange.respond(STATUS_NOT_FOUND, (), b'')
            return
        exchange.respond(STATUS_OK if self.ready else STATUS_UNAVAILABLE, (), b'')

    def take_discovery(self, exchange: ServerExchange) -> None:
        """Answer which addresses a caller should use."""
        question = self._adapter.decode_discovery(exchange.request)
        if question is None:
            exchange.respond(STATUS_NOT_FOUND, (), b'')
            return
        view = self._peers.view()
        suspects = view.suspects | view.leaving if view is not None else frozenset()
        members = self._directory.choose(
            question, self.ready, suspects, self._parts.clock.now_ms()
        )
        if not members:
            exchange.respond(STATUS_UNAVAILABLE, (), b'')
            return
        response = self._adapter.encode_discovery(
            members, int(self._settings.discovery_lifetime_ms)
        )
        exchange.respond(
            response.status, tuple(response.headers.items()), response.body
        )

    def take_metrics(self, exchange: ServerExchange) -> None:
        """Answer with the metrics."""
        if exchange.request.target != METRICS_PATH:
            exchange.respond(STATUS_NOT_FOUND, (), b'')
            return
        self._sample()
        body, headers = self._parts.telemetry.metrics.render()
        exchange.respond(STATUS_OK, tuple(headers.items()), body)

    def _sample(self) -> None:
        metrics = self._parts.telemetry.metrics
        configuration = self._parts.configuration
        view = self._peers.view()
        metrics.set('in_progress', self.in_progress)
        if self.caller_server is not None:
            metrics.set('open_connections', self.caller_server.open_connections)
        metrics.set('members', len(view.alive) - 1 if view is not None else 0)
        roster = self._parts.roster
        draining = sum(roster.is_leaving(record.entry) for record in roster)
        metrics.set('endpoints', draining, state='draining')
        metrics.set('endpoints', len(self._parts.roster) - draining, state='ready')
        metrics.set('configuration_version', configuration.version)
        if configuration.table is not None:
            age_ms = configuration.age_ms(self._parts.clock.now_ms())
            metrics.set('configuration_age_ms', age_ms)

    # -- configuration and settings

    @property
    def telemetry(self) -> GatewayTelemetry:
        """Where what happens is told."""
        return self._parts.telemetry

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Follow changed settings, as far as a running process can.

        Addresses stay until the next start: a listening socket that moved would cut
        off those who use it.

        :param settings: the new ones.
        """
        self._settings = settings
        self._plan = plan_leaving(settings.grace_s)
        self._parts.telemetry.log.level = LogLevel[settings.log_level.upper()]
        self._parts.allowance.bounds = read_bounds(settings)
        self._parts.configuration.key_trust_ms = key_trust_ms(settings)

    def apply_limits(self, deployment: Deployment) -> None:
        """Follow a version of the configuration that is now in force.

        :param deployment: the version.
        """
        server = self.caller_server
        if server is None:
            return
        limits = deployment.limits
        server.limits = server.limits._replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=int(IDLE_FACTOR * limits.idle_timeout_ms),
        )

    # -- leaving

    async def leave(self) -> None:
        """Serve those who still hold this address, then end."""
        began_ms = self._parts.clock.now_ms()
        self._leaving_since_ms = began_ms
        if self.caller_server is not None:
            self.caller_server.closing = True
        if self._duties is not None:
            self._duties.leave()
        repeats = self._parts.allowance.close(began_ms)
        farewell = asyncio.get_running_loop().create_task(self._peers.leave(repeats))
        while not self._may_end(self._parts.clock.now_ms() - began_ms):
            await asyncio.sleep(LEAVING_STEP_MS / MS_PER_S)
        self._peers.tell_usage()
        farewell.cancel()

    def _may_end(self, leaving_ms: int) -> bool:
        if leaving_ms >= self._plan.end_ms:
            return True
        if self.in_progress or leaving_ms < self._plan.least_ms:
            return False
        quiet_ms = self._parts.clock.now_ms() - self._last_request_ms
        return quiet_ms >= self._plan.quiet_ms
