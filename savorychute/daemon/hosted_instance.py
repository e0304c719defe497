"""The interface of an instance that the daemon uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.inputs import Input
    from savorychute.membership.discovery import DiscoveryAnswer


class HostedInstance(Protocol):
    """An instance, as its host uses it."""

    @property
    def next_tick_ms(self) -> int:
        """Time at which the next tick is due."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the instance has a configuration and can serve requests."""
        ...

    def deliver(self, message: Input, now_ms: int) -> Sequence[Action]:
        """Handle an input and return the resulting actions."""
        ...

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Advance to the current time and return the resulting actions."""
        ...

    def discover(self, token: str) -> DiscoveryAnswer:
        """Return the addresses that the bearer of *token* should use.

        :raises RequestError: if the token is unknown.
        """
        ...

    def issue_key(self, token: str, now_ms: int) -> str:
        """Return a request key for the bearer of *token*.

        :raises RequestError: if the token is unknown.
        """
        ...
