"""A stand-in for the platform's list of instances, which is delayed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class Listing(NamedTuple):
    """The live and the leaving instances at a time in the past."""

    live: tuple[MemberAddress, ...] = ()
    leaving: frozenset[str] = frozenset()


class InstanceList:
    """The list of instances, which readers receive with a delay.

    :param lag_ms: the age of the list that a reader receives.
    """

    def __init__(self, lag_ms: float = 1_000.0) -> None:
        self.lag_ms = lag_ms
        self.is_up = True
        self._live: dict[str, MemberAddress] = {}
        self._leaving: set[str] = set()
        self._history: list[tuple[float, Listing]] = []

    def put(self, address: MemberAddress, now_ms: float) -> None:
        """Add an instance, or replace its entry."""
        self._live[address.instance] = address
        self._leaving.discard(address.instance)
        self._record_listing(now_ms)

    def mark_leaving(self, name: str, now_ms: float) -> None:
        """Mark an instance or an endpoint as leaving."""
        self._leaving.add(name)
        self._record_listing(now_ms)

    def delete(self, name: str, now_ms: float) -> None:
        """Remove an instance from the list."""
        self._live.pop(name, None)
        self._leaving.discard(name)
        self._record_listing(now_ms)

    def fetch(self, now_ms: float) -> Listing | None:
        """Return the delayed list, or None if the service is down."""
        if not self.is_up:
            return None
        history = self._history
        while len(history) > 1 and history[1][0] <= now_ms - self.lag_ms:
            history.pop(0)
        return history[0][1] if history else Listing()

    def _record_listing(self, now_ms: float) -> None:
        live = tuple(self._live[name] for name in sorted(self._live))
        self._history.append((now_ms, Listing(live, frozenset(self._leaving))))
