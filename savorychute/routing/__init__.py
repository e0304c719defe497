"""Routing: the choice of the endpoint that runs a request."""

from __future__ import annotations

from savorychute.routing.endpoint_state import EndpointState
from savorychute.routing.endpoint_table import EndpointTable
from savorychute.routing.least_outstanding_router import LeastOutstandingRouter
from savorychute.routing.length_settings import LengthSettings
from savorychute.routing.output_lengths import OutputLengths
from savorychute.routing.predicted_router import PredictedRouter
from savorychute.routing.round_robin_router import RoundRobinRouter
from savorychute.routing.router import ROUTERS, Router
from savorychute.routing.routing_choice import RoutingChoice
from savorychute.routing.routing_request import RoutingRequest
from savorychute.routing.routing_settings import RoutingSettings

__all__ = [
    'ROUTERS',
    'EndpointState',
    'EndpointTable',
    'LeastOutstandingRouter',
    'LengthSettings',
    'OutputLengths',
    'PredictedRouter',
    'RoundRobinRouter',
    'Router',
    'RoutingChoice',
    'RoutingRequest',
    'RoutingSettings',
]
