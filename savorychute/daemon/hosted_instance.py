"""What the daemon needs of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.inputs import Input
    from savorychute.membership.discovery import DiscoveryAnswer


class HostedInstance(Protocol):
    """An instance as its host sees it."""

    @property
    def next_tick_ms(self) -> int:
        """When the next tick is due."""
        ...

    @property
    def ready(self) -> bool:
        """Whether there is a configuration to serve with."""
        ...

    def deliver(self, message: Input, now_ms: int) -> Sequence[Action]:
        """Take an input and return what to do."""
        ...

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Let time pass and return what to do."""
        ...

    def discover(self, token: str) -> DiscoveryAnswer:
        """Return the addresses that the bearer of *token* is to use.

        :raises RequestError: if the token belongs to nobody.
        """
        ...

    def issue_key(self, token: str, now_ms: int) -> str:
        """Return a request key for the bearer of *token*.

        :raises RequestError: if the token belongs to nobody.
        """
        ...
