"""Errors of tunnels."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class TunnelError(SavorychuteError, OSError):
    """No tunnel was opened; no byte of a request was sent."""

    code = ResultCode.NO_ENDPOINT


class TunnelRefusedError(TunnelError):
    """The relay answered that it opens no tunnel to the endpoint."""


class EndpointUnreachableError(TunnelRefusedError):
    """The relay tried to connect to the endpoint, and did not reach it."""
