"""State and ports that all requests of a gateway share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.clock import Clock
    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.configuration.service import Service
    from savorychute.gateway.dispatch.chooser import Chooser
    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.finish_forecast import FinishForecast
    from savorychute.gateway.dispatch.overload_guard import OverloadGuard
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.duties.usage_counter import UsageCounter
    from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.endpoints.load_monitor import LoadMonitor
    from savorychute.gateway.endpoints.statement_table import StatementTable
    from savorychute.gateway.engines.shared_speeds import SharedSpeeds
    from savorychute.gateway.moves.departures import Departures
    from savorychute.gateway.paths.path_table import PathTable
    from savorychute.gateway.permits.permit_handler import PermitHandler
    from savorychute.gateway.recovery.crash_guard import CrashGuard
    from savorychute.gateway.recovery.retry_allowance import RetryAllowance
    from savorychute.gateway.requests.attempt_port import AttemptPort, TimerPort
    from savorychute.gateway.requests.response_memory import ResponseMemory
    from savorychute.gateway.stream_telemetry import StreamTelemetry
    from savorychute.gateway.streams.stream_origins import StreamOrigins
    from savorychute.gateway.telemetry import GatewayTelemetry


class GatewayParts(NamedTuple):
    """Shared state and ports, one set for each instance.

    ``speeds`` is None if the speeds of engines are not observed.
    """

    clock: Clock
    timers: TimerPort
    attempts: AttemptPort
    configuration: ConfigurationState
    roster: EndpointRoster
    model_chooser: Chooser
    service_chooser: Chooser
    guard: OverloadGuard
    shortages: Shortages
    engines: EngineModels
    speeds: SharedSpeeds | None
    finish: FinishForecast
    loads: LoadMonitor
    statements: StatementTable
    permits: PermitHandler
    allowance: RetryAllowance
    crashes: CrashGuard
    paths: PathTable
    origins: StreamOrigins
    moves: Departures
    usage: UsageCounter
    response_memory: ResponseMemory
    telemetry: GatewayTelemetry
    endpoint_telemetry: EndpointTelemetry
    stream_telemetry: StreamTelemetry

    def chooser(self, service: Service) -> Chooser:
        """Return the chooser of endpoints of a service.

        :param service: the service.
        """
        return self.model_chooser if service.runs_models else self.service_chooser
