"""Simulated network: delays, network partitions and unreliable messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random


class NetworkSettings(NamedTuple):
    """One-way delays."""

    local_ms: float = 0.1
    domain_ms: float = 0.5
    client_ms: float = 1.0


class PeerFaults(NamedTuple):
    """Faults of the messages between instances.

    Shares are probabilities for each message.  ``reorder_ms`` is the maximum of
    a random delay, ``delay_ms`` a constant delay of each message.
    """

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_ms: float = 0.0
    delay_ms: float = 0.0


NO_PEER_FAULTS = PeerFaults()


class Network:
    """Decides whether and when sent data arrives.

    :param settings: the delays.
    :param rng: decides on loss, duplication and delay of each message.
    """

    def __init__(self, settings: NetworkSettings, rng: Random) -> None:
        self.settings = settings
        self.peer_faults = NO_PEER_FAULTS
        self.peer_messages = 0
        self.cancel_delay_ms = 0.0
        self.had_network_partition = False
        self._rng = rng
        self._cuts: set[tuple[str, str]] = set()

    def delay_ms(self, source: str, target: str) -> float:
        """Return the one-way delay between two failure domains."""
        if source == target:
            return self.settings.local_ms
        return self.settings.domain_ms

    def cut(self, source: str, target: str) -> None:
        """Block traffic from one failure domain to another."""
        self.had_network_partition = True
        self._cuts.add((source, target))

    def heal(self) -> None:
        """End all network partitions."""
        self._cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether traffic in this direction is blocked."""
        return (source, target) in self._cuts

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether a connection is possible, which needs both directions."""
        cuts = self._cuts
        return (source, target) not in cuts and (target, source) not in cuts

    def peer_delays(self, source: str, target: str) -> list[float]:
        """Return the delay of each delivered copy of a message."""
        self.peer_messages += 1
        if self.is_cut(source, target):
            return []
        base_ms = self.delay_ms(source, target)
        faults = self.peer_faults
        if faults is NO_PEER_FAULTS:
            return [base_ms]
        if self._rng.random() < faults.loss_share:
            return []
        copies = 2 if self._rng.random() < faults.duplicate_share else 1
        return [
            base_ms + faults.delay_ms + self._rng.random() * faults.reorder_ms
            for _ in range(copies)
        ]
