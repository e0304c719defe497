"""Errors of tunnels."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class TunnelError(SavorychuteError, OSError):
    """No tunnel was opened; no byte of a request was sent."""

    code = ResultCode.NO_ENDPOINT


class RelayError(TunnelError):
    """The relay does not offer a tunnel now; another one may."""


class EndpointUnreachableError(TunnelError):
    """The relay reaches other endpoints, but not this one."""
