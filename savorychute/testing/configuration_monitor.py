"""Monitors the configuration that is in force at each instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.testing.fleet import Fleet

CHECK_INTERVAL_MS = 250.0
MAX_PROPAGATION_MS = 7_000.0


class AcceptedChange(NamedTuple):
    """A change that was reported to an operator as accepted."""

    at_ms: float
    item: str
    version: int
    base_version: int | None


class ConfigurationMonitor:
    """Checks the versions of every instance periodically.

    A version must never decrease, and an accepted version must be in force at
    every serving instance within ``MAX_PROPAGATION_MS``.  For an instance that
    was paused, cut off by a network partition or started later, this time starts
    with its return.

    :param simulation: the simulation.
    """

    def __init__(self, simulation: Fleet) -> None:
        self._simulation = simulation
        self._last_versions: dict[str, dict[str, int]] = {}
        self._accepted: list[AcceptedChange] = []
        self._violations: list[str] = []
        self._reported_late: set[tuple[str, str, int]] = set()

    def start(self) -> None:
        """Start the periodic checks."""
        self._check_all()

    def record_accepted(
        self, item: str, version: int, base_version: int | None
    ) -> None:
        """Record that a version was reported to an operator as accepted.

        Of two changes to the same base version at most one can be accepted:
        otherwise the later one would overwrite a change that its operator has
        not seen.

        :param base_version: the amended version, if the operator stated one.
        """
        accepted = AcceptedChange(
            self._simulation.heap.now_ms, item, version, base_version
        )
        for other in self._accepted:
            if other.item != item:
                continue
            if other.version == version or (
                base_version is not None and other.base_version == base_version
            ):
                self._violations.append(
                    f'{item}: versions {other.version} and {version} both accepted,'
                    f' over {other.base_version} and {base_version}'
                )
        self._accepted.append(accepted)

    def find_violations(self) -> Iterator[str]:
        """Return the violations found so far."""
        yield from self._violations

    def _check_all(self) -> None:
        simulation = self._simulation
        for host in list(simulation.instances.values()):
            if host.is_up and not host.is_paused and host.instance.ready:
                incarnation_id = f'{host.name}.{host.address.incarnation}'
                self._check_instance(
                    incarnation_id, host.served_since_ms, host.versions()
                )
        simulation.heap.call_later(CHECK_INTERVAL_MS, self._check_all)

    def _check_instance(
        self, incarnation_id: str, since_ms: float, versions: dict[str, int]
    ) -> None:
        last_versions = self._last_versions.get(incarnation_id, {})
        for item, version in last_versions.items():
            if versions.get(item, 0) < version:
                current_version = versions.get(item, 0)
                self._violations.append(
                    f'{incarnation_id}: {item} went from {version} to {current_version}'
                )
        self._last_versions[incarnation_id] = dict(versions)
        now_ms = self._simulation.heap.now_ms
        since_ms = max(since_ms, self._simulation.reachable_since_ms)
        for accepted in self._accepted:
            waited_ms = now_ms - max(accepted.at_ms, since_ms)
            if waited_ms <= MAX_PROPAGATION_MS:
                continue
            if versions.get(accepted.item, 0) >= accepted.version:
                continue
            late_item = (incarnation_id, accepted.item, accepted.version)
            if late_item not in self._reported_late:
                self._reported_late.add(late_item)
                self._violations.append(
                    f'{incarnation_id}: {accepted.item} version {accepted.version} not in'
                    f' force after {waited_ms:.0f} ms'
                )
