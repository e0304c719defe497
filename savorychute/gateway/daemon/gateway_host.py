"""Handles the requests that reach a gateway's servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.configuration.idle_connections import (
    idle_connections_per_endpoint,
)
from savorychute.gateway.daemon.caller_exchange import CallerExchange
from savorychute.gateway.daemon.memory_shares import response_limit_bytes
from savorychute.gateway.daemon.shutdown_plan import plan_shutdown
from savorychute.gateway.discovery.advertisement import NOT_READY_VERSION
from savorychute.gateway.requests.refusal import Refusal
from savorychute.gateway.requests.request_execution import RequestExecution
from savorychute.gateway.requests.response_flow import ResponseFlow
from savorychute.gateway.requests.stream_resumption import (
    StreamResumption,
    is_resumption,
)
from savorychute.gateway.settings.key_trust import read_key_trust_ms
from savorychute.gateway.settings.retry_bounds import read_retry_bounds
from savorychute.gateway.translation_error import TranslationError
from savorychute.logs import LogLevel
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.daemon.duty_worker import DutyWorker
    from savorychute.gateway.daemon.peer_group import PeerGroup
    from savorychute.gateway.daemon.tunnel_server import TunnelServer
    from savorychute.gateway.discovery.instance_directory import InstanceDirectory
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.intake import Intake
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.gateway.streams.stream_origin import StreamOrigin
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_server import HttpServer
    from savorychute.http.server_exchange import ServerExchange

SHUTDOWN_POLL_INTERVAL_MS = 50
HOUSEKEEPING_INTERVAL_MS = 250
LEAVING_RETRY_AFTER_MS = 50
# Interval between two log summaries of engine models and of calls to the store.
# Writing a line takes about 0.1 ms.
SUMMARY_INTERVAL_MS = 5_000
# Callers reuse connections up to the configured idle timeout.  The server closes them a
# little later, so that no request is sent while the connection is being closed.
IDLE_TIMEOUT_FACTOR = 1.25
METRICS_PATH = '/metrics'
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class GatewayHost:
    """Admits requests from the servers and starts the execution of each.

    :param settings: settings of the instance.
    :param parts: state and ports that all requests share.
    :param intake: admits or refuses requests.
    :param adapter: translates the protocols of the platform, callers and endpoints.
    :param peers: the other instances.
    :param directory: chooses the addresses that callers receive.
    :param tunnels: opens connections to endpoints for other instances.
    :param endpoints: the connections to endpoints.
    :param duties: carries out duties for all instances; None if there are none.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        parts: GatewayParts,
        intake: Intake,
        adapter: PlatformAdapter,
        peers: PeerGroup,
        directory: InstanceDirectory,
        tunnels: TunnelServer,
        endpoints: ClientPool,
        duties: DutyWorker | None = None,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._intake = intake
        self._adapter = adapter
        self._peers = peers
        self._directory = directory
        self._tunnels = tunnels
        self._endpoints = endpoints
        self._duties = duties
        self._leaving_since_ms: int | None = None
        self._last_request_ms = 0
        self._last_summary_ms = 0
        self._had_lost_paths = False
        self._shutdown_plan = plan_shutdown(settings.grace_s)
        self.in_progress = 0
        self.caller_server: HttpServer | None = None

    @property
    def ready(self) -> bool:
        """Whether callers should send requests to this instance.

        An instance that cannot read the store refuses keys after a while, and one that
        has not read the marks of versions, or the verdicts on requests, begins no
        streams.  Reporting this here lets callers choose another instance before they are refused.
        """
        configuration = self._parts.configuration
        if self._leaving_since_ms is not None or configuration.table is None:
            return False
        now_ms = self._parts.clock.now_ms()
        if not self._parts.origins.is_ready(now_ms):
            return False
        if not self._parts.crashes.is_informed(now_ms):
            return False
        return not configuration.table.needs_keys or configuration.trusts_keys(now_ms)

    def attach_caller_server(self, server: HttpServer) -> None:
        """Attach the server for callers once it listens, and apply limits to it.

        :param server: the server.
        """
        self.caller_server = server
        table = self._parts.configuration.table
        if table is not None:
            self.apply_limits(table.deployment)

    async def run(self) -> None:
        """Do periodic housekeeping until the task is cancelled."""
        while True:
            version = self._parts.configuration.version
            self._peers.advertised_version = (
                version if self.ready else NOT_READY_VERSION
            )
            self._parts.roster.expire(self._parts.clock.now_ms())
            self._maintain_connections(self._parts.clock.now_ms())
            self._limit_idle_connections()
            self._parts.telemetry.log_omitted()
            self._log_summaries(self._parts.clock.now_ms())
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / MS_PER_S)

    def _maintain_connections(self, now_ms: int) -> None:
        """Retry a lost path, and close connections on paths that are not used any more."""
        paths = self._parts.paths
        had_lost, self._had_lost_paths = self._had_lost_paths, paths.has_lost
        if not had_lost and not paths.has_lost:
            return
        address = paths.find_due_retry(now_ms)
        if address is not None:
            self._endpoints.prepare(address)
        self._endpoints.close_unusable()

    def _limit_idle_connections(self) -> None:
        """Keep no more idle connections than an endpoint accepts of each instance."""
        table = self._parts.configuration.table
        view = self._peers.view()
        if table is not None and view is not None:
            self._endpoints.idle_per_server = idle_connections_per_endpoint(
                table.deployment.services, len(view.alive)
            )

    def _log_summaries(self, now_ms: int) -> None:
        if now_ms - self._last_summary_ms < SUMMARY_INTERVAL_MS:
            return
        self._last_summary_ms = now_ms
        self._parts.telemetry.store_used()
        for service, figures in self._parts.engines.estimates().items():
            self._parts.telemetry.engines_learned(service, figures)

    # -- requests

    def handle_request(self, exchange: ServerExchange) -> None:
        """Handle a caller's request.

        :param exchange: the request and the way to respond to it.
        """
        now_ms = self._parts.clock.now_ms()
        self._last_request_ms = now_ms
        caller = CallerExchange(exchange, self._adapter)
        try:
            request = self._adapter.decode_request(exchange.request)
        except TranslationError as error:
            caller.refuse(Refusal(ResultCode.BAD_FIELD, Ran.NOT_RUN, error.message))
            return
        verdict = self._refuse_while_leaving(now_ms) or self._intake.admit(
            request, now_ms
        )
        if isinstance(verdict, Refusal):
            self._refuse(request, verdict, caller)
        elif is_resumption(request, verdict):
            self._resume(exchange, request, verdict, caller)
        else:
            self._execute(exchange, request, verdict, caller)

    def _refuse(
        self, request: InboundRequest, refusal: Refusal, caller: CallerExchange
    ) -> None:
        configuration = self._parts.configuration
        age_ms = configuration.age_ms(self._parts.clock.now_ms())
        self._parts.telemetry.request_refused(
            request, refusal, configuration.version, age_ms
        )
        caller.refuse(refusal)

    def _resume(
        self,
        exchange: ServerExchange,
        request: InboundRequest,
        admitted: AdmittedRequest,
        caller: CallerExchange,
    ) -> None:
        """Execute the request of a caller that takes a stream up, if it can go on."""

        def execute(admitted: AdmittedRequest, origin: StreamOrigin) -> None:
            self._record_finished()
            self._execute(exchange, request, admitted, caller, origin)

        def refuse(refusal: Refusal) -> None:
            self._record_finished()
            self._refuse(request, refusal, caller)
            exchange.release()

        def leave() -> None:
            self._record_finished()
            resumption.caller_left()
            exchange.release()

        resumption = StreamResumption(self._parts, request, admitted, execute, refuse)
        exchange.on_left = leave
        self.in_progress += 1
        resumption.start()

    def _execute(
        self,
        exchange: ServerExchange,
        request: InboundRequest,
        admitted: AdmittedRequest,
        caller: CallerExchange,
        origin: StreamOrigin | None = None,
    ) -> None:
        execution = RequestExecution(self._parts, request, admitted, caller, origin)
        exchange.on_left = execution.caller_left
        flow = ResponseFlow(execution, self._parts.timers)
        exchange.on_pause = flow.caller_paused
        exchange.on_resume = flow.caller_resumed
        self.in_progress += 1

        def finish() -> None:
            self._record_finished()
            exchange.release()

        execution.on_finished = finish
        execution.start()

    def _record_finished(self) -> None:
        self.in_progress -= 1

    def _refuse_while_leaving(self, now_ms: int) -> Refusal | None:
        since_ms = self._leaving_since_ms
        if since_ms is None or now_ms - since_ms < self._shutdown_plan.refuse_after_ms:
            return None
        code = ResultCode.SHUTTING_DOWN
        return Refusal(code, Ran.NOT_RUN, 'leaving', LEAVING_RETRY_AFTER_MS)

    # -- readiness, discovery and metrics

    def handle_readiness(self, exchange: ServerExchange) -> None:
        """Respond whether this instance is ready."""
        if not self._adapter.is_readiness(exchange.request):
            exchange.respond(STATUS_NOT_FOUND, (), b'')
            return
        exchange.respond(STATUS_OK if self.ready else STATUS_UNAVAILABLE, (), b'')

    def handle_discovery(self, exchange: ServerExchange) -> None:
        """Respond with the addresses that a caller should use."""
        query = self._adapter.decode_discovery(exchange.request)
        if query is None:
            exchange.respond(STATUS_NOT_FOUND, (), b'')
            return
        view = self._peers.view()
        excluded = view.suspects | view.leaving if view is not None else frozenset()
        members = self._directory.choose(
            query, self.ready, excluded, self._parts.clock.now_ms()
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

    def handle_metrics(self, exchange: ServerExchange) -> None:
        """Respond with the metrics."""
        if exchange.request.target != METRICS_PATH:
            exchange.respond(STATUS_NOT_FOUND, (), b'')
            return
        self._sample_gauges()
        body, headers = self._parts.telemetry.metrics.render()
        exchange.respond(STATUS_OK, tuple(headers.items()), body)

    def _sample_gauges(self) -> None:
        metrics = self._parts.telemetry.metrics
        configuration = self._parts.configuration
        view = self._peers.view()
        metrics.set('in_progress', self.in_progress)
        metrics.set('tunnels_open', self._tunnels.open_tunnels)
        idle = self._endpoints.idle_connections
        busy = self._endpoints.open_connections - idle
        metrics.set('endpoint_connections', idle, state='idle')
        metrics.set('endpoint_connections', busy, state='busy')
        metrics.set('connection_reuses', self._endpoints.reuses)
        if self.caller_server is not None:
            metrics.set('open_connections', self.caller_server.open_connections)
            metrics.set('unread_bytes', self.caller_server.unread_bytes)
        metrics.set('held_bytes', self._parts.response_memory.used_bytes)
        metrics.set('members', len(view.alive) - 1 if view is not None else 0)
        metrics.set('verdicts', len(self._parts.crashes.judge.verdicts))
        origins = self._parts.origins
        self._parts.stream_telemetry.records_counted(
            len(origins.table), origins.table.dropped + origins.teller.dropped
        )
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
        """The telemetry of this instance."""
        return self._parts.telemetry

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings, as far as a running process can.

        Addresses stay until the next start: moving a listening socket would close the
        connections of those who use it.

        :param settings: the new settings.
        """
        self._settings = settings
        self._shutdown_plan = plan_shutdown(settings.grace_s)
        self._endpoints.response_bytes = response_limit_bytes(settings.response_mb)
        self._parts.telemetry.log.level = LogLevel[settings.log_level.upper()]
        self._parts.allowance.bounds = read_retry_bounds(settings)
        self._parts.configuration.key_trust_ms = read_key_trust_ms(settings)

    def apply_limits(self, deployment: Deployment) -> None:
        """Apply the limits of the configuration version that is now in force.

        :param deployment: the configuration version.
        """
        server = self.caller_server
        if server is None:
            return
        limits = deployment.limits
        server.limits = server.limits._replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=int(IDLE_TIMEOUT_FACTOR * limits.idle_timeout_ms),
        )
        server.budget.max_body_bytes = limits.body_bytes

    # -- leaving

    async def leave(self) -> None:
        """Serve callers that still use this address, then end."""
        started_ms = self._parts.clock.now_ms()
        self._leaving_since_ms = started_ms
        if self.caller_server is not None:
            self.caller_server.closing = True
        self._tunnels.leaving = True
        if self._duties is not None:
            self._duties.leave()
        max_retries = self._parts.allowance.close(started_ms)
        leave_task = asyncio.get_running_loop().create_task(
            self._peers.leave(max_retries)
        )
        while not self._can_end(self._parts.clock.now_ms() - started_ms):
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_MS / MS_PER_S)
        if self.caller_server is not None:
            self._parts.telemetry.callers_cut(self.caller_server.unread_bytes)
        self._peers.report_usage()
        leave_task.cancel()

    def _can_end(self, leaving_ms: int) -> bool:
        # Asked each time, because it notes who reads.
        has_readers = self._has_readers()
        if leaving_ms >= self._shutdown_plan.max_ms:
            return True
        if self.in_progress or self._tunnels.open_tunnels or has_readers:
            return False
        if leaving_ms < self._shutdown_plan.min_ms:
            return False
        idle_ms = self._parts.clock.now_ms() - self._last_request_ms
        return idle_ms >= self._shutdown_plan.idle_ms

    def _has_readers(self) -> bool:
        """Return whether callers still read responses that they do not have whole."""
        server = self.caller_server
        if server is None:
            return False
        return server.count_readers(self._shutdown_plan.stalled_ms) > 0
