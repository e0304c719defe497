"""Watches which configuration each instance has in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.testing.fleet import Fleet

WATCH_MS = 250.0
IN_FORCE_WITHIN_MS = 7_000.0


class Accepted(NamedTuple):
    """A change that an operator was told is accepted."""

    at_ms: float
    item: str
    version: int
    base: int | None


class ConfigurationWatch:
    """Looks at every instance's versions from time to time.

    Versions must never go down, and an accepted one must be in force at every
    instance that serves callers.  An instance that was paused or cut off, or
    that started later, has the same time from its return.

    :param world: the run.
    """

    def __init__(self, world: Fleet) -> None:
        self._world = world
        self._seen: dict[str, dict[str, int]] = {}
        self._accepted: list[Accepted] = []
        self._breaches: list[str] = []
        self._late_told: set[tuple[str, str, int]] = set()

    def start(self) -> None:
        """Begin to watch."""
        self._look()

    def note_accepted(self, item: str, version: int, base: int | None) -> None:
        """Note that an operator was told of a version.

        Two operators who amended the same version must not both be told that
        theirs is accepted: the later one would have overwritten a change that
        its operator has not seen.

        :param base: the version that was amended, if the operator named one.
        """
        accepted = Accepted(self._world.heap.now_ms, item, version, base)
        for other in self._accepted:
            if other.item != item:
                continue
            if other.version == version or (base is not None and other.base == base):
                self._breaches.append(
                    f'{item}: versions {other.version} and {version} both accepted,'
                    f' over {other.base} and {base}'
                )
        self._accepted.append(accepted)

    def find_breaches(self) -> Iterator[str]:
        """Return what was seen to be wrong."""
        yield from self._breaches

    def _look(self) -> None:
        world = self._world
        for host in list(world.instances.values()):
            if host.is_up and not host.is_paused and host.instance.ready:
                run = f'{host.name}.{host.address.incarnation}'
                self._look_at(run, host.served_since_ms, host.versions())
        world.heap.call_later(WATCH_MS, self._look)

    def _look_at(self, run: str, since_ms: float, versions: dict[str, int]) -> None:
        seen = self._seen.get(run, {})
        for item, version in seen.items():
            if versions.get(item, 0) < version:
                now = versions.get(item, 0)
                self._breaches.append(f'{run}: {item} went from {version} to {now}')
        self._seen[run] = dict(versions)
        now_ms = self._world.heap.now_ms
        since_ms = max(since_ms, self._world.reachable_since_ms)
        for accepted in self._accepted:
            waited_ms = now_ms - max(accepted.at_ms, since_ms)
            if waited_ms <= IN_FORCE_WITHIN_MS:
                continue
            if versions.get(accepted.item, 0) >= accepted.version:
                continue
            late = (run, accepted.item, accepted.version)
            if late not in self._late_told:
                self._late_told.add(late)
                self._breaches.append(
                    f'{run}: {accepted.item} version {accepted.version} not in'
                    f' force after {waited_ms:.0f} ms'
                )
