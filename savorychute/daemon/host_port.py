"""What the parts of a host need of it and of each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.clock import Clock
    from savorychute.daemon.host_settings import HostSettings
    from savorychute.inputs import Input


class InputPort(Protocol):
    """Who gives inputs to the instance."""

    def deliver(self, delivered: Input) -> None:
        """Give an input to the instance and carry out what it asks for."""
        ...


class AnswerPort(Protocol):
    """The callers' side of requests, as attempts see it."""

    def passed_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of a request that its endpoint gets."""
        ...

    def is_paused(self, request_id: str) -> bool:
        """Return whether the caller reads too slowly."""
        ...


class AttemptsPort(Protocol):
    """The endpoints' side of requests, as answers see it."""

    def passed_headers(self, attempt_id: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of an endpoint's answer that the caller gets."""
        ...

    def pause(self, request_id: str) -> None:
        """Stop reading the answer to a request."""
        ...

    def resume(self, request_id: str) -> None:
        """Read it again."""
        ...


class HostPort(InputPort, Protocol):
    """A host, as its parts see it."""

    @property
    def settings(self) -> HostSettings:
        """Timeouts."""
        ...

    @property
    def clock(self) -> Clock:
        """The time that the instance is told."""
        ...

    @property
    def scheme(self) -> str:
        """The scheme by which callers reach instances."""
        ...

    @property
    def answers(self) -> AnswerPort:
        """The callers' side of requests."""
        ...

    @property
    def attempts(self) -> AttemptsPort:
        """The endpoints' side of requests."""
        ...
