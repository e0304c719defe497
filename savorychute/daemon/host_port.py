"""Interfaces between a host and its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.clock import Clock
    from savorychute.daemon.host_settings import HostSettings
    from savorychute.inputs import Input


class InputPort(Protocol):
    """Delivers inputs to the instance."""

    def deliver(self, new_input: Input) -> None:
        """Deliver an input to the instance and execute the resulting actions."""
        ...


class ResponsesPort(Protocol):
    """The responses to callers, as attempts use them."""

    def forwarded_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of a request that are forwarded to its endpoint."""
        ...

    def is_paused(self, request_id: str) -> bool:
        """Return whether the caller of a request reads too slowly."""
        ...


class AttemptsPort(Protocol):
    """The attempts at endpoints, as responses to callers use them."""

    def forwarded_headers(self, attempt_id: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of a response that are forwarded to the caller."""
        ...

    def pause(self, request_id: str) -> None:
        """Stop reading the endpoint's response to a request."""
        ...

    def resume(self, request_id: str) -> None:
        """Resume reading the endpoint's response to a request."""
        ...


class HostPort(InputPort, Protocol):
    """A host, as its parts use it."""

    @property
    def settings(self) -> HostSettings:
        """The timeouts."""
        ...

    @property
    def clock(self) -> Clock:
        """The clock that the instance uses."""
        ...

    @property
    def scheme(self) -> str:
        """The URL scheme of the addresses of instances."""
        ...

    @property
    def responses(self) -> ResponsesPort:
        """The responses to callers."""
        ...

    @property
    def attempts(self) -> AttemptsPort:
        """The attempts at endpoints."""
        ...
