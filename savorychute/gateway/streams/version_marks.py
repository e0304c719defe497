"""The versions that may begin streams, as the store records them for all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from savorychute.gateway.streams.stream_origin import StreamOrigin

# A version that was not listed for this long is marked anew before it is used.
FORGET_MS = 20_000
# A mark is removed if it is this old and its version has not been listed meanwhile: much
# later than every instance has forgotten it, and than the last stream of it has ended.
REMOVE_MS = 60_000
# A service whose versions cannot be marked is served without that proof after this time.
MAX_WAIT_MS = 5_000
# A missed removal is noticed by listing the marks again.
RELIST_MS = 2 * REMOVE_MS


class Mark(NamedTuple):
    """One version of a service; ``stamp`` differs each time that it is marked."""

    origin: StreamOrigin
    stamp: int


class _Known(NamedTuple):
    stamp: int
    since_ms: int


class VersionMarks:
    """Decides which versions may begin streams here, and which marks to change.

    The store holds a mark for each version before an instance begins a stream at it.  So
    if all instances are gone, and with them their records, a service with one mark still
    proves at what version its streams began.
    """

    def __init__(self) -> None:
        self._known: dict[StreamOrigin, _Known] = {}
        self._listed_ms: dict[StreamOrigin, int] = {}
        # Marked versions that were not listed for a while; another instance may have
        # removed their marks.
        self._stale: set[StreamOrigin] = set()
        # Listed versions that are not marked since they have appeared, since when.
        self._unmarked_ms: dict[StreamOrigin, int] = {}
        # The services for which streams wait, since when.
        self._urgent_ms: dict[str, int] = {}
        self.has_read = False
        self.read_ms = 0

    # -- what this instance sees

    def observe(self, listed: Iterable[StreamOrigin], now_ms: int) -> None:
        """Observe the versions of the listed endpoints.

        :param listed: the origins that streams could have now.
        :param now_ms: the current time.
        """
        current = frozenset(listed)
        for origin, known in self._known.items():
            seen_ms = max(known.since_ms, self._listed_ms.get(origin, 0))
            if now_ms - seen_ms >= FORGET_MS:
                self._stale.add(origin)
        for origin in current:
            if not self.may_begin(origin):
                self._unmarked_ms.setdefault(origin, now_ms)
            self._listed_ms[origin] = now_ms
        for origin in [each for each in self._unmarked_ms if each not in current]:
            del self._unmarked_ms[origin]
        for origin, last_ms in list(self._listed_ms.items()):
            if now_ms - last_ms > RELIST_MS and origin not in self._known:
                del self._listed_ms[origin]

    def may_begin(self, origin: StreamOrigin) -> bool:
        """Return whether a listed version is marked since it has appeared.

        :param origin: a service and a version.
        """
        return origin in self._known and origin not in self._stale

    def hasten(self, service: str, now_ms: int) -> bool:
        """Mark the versions of a service without leaving that to others.

        :param service: a service with no endpoint of a marked version.
        :param now_ms: the current time.
        :returns: whether the mark has been missing for so long that streams begin
            without it.
        """
        since_ms = self._urgent_ms.setdefault(service, now_ms)
        return now_ms - since_ms >= MAX_WAIT_MS

    def end_wait(self, service: str) -> None:
        """Record that streams of a service can begin.

        :param service: name of the service.
        """
        self._urgent_ms.pop(service, None)

    def mixed_services(self, now_ms: int) -> frozenset[str]:
        """Return the services that have, or recently had, several versions.

        :param now_ms: the current time.
        """
        versions: dict[str, set[str]] = {}
        recent = [
            origin
            for origin, last_ms in self._listed_ms.items()
            if now_ms - last_ms < REMOVE_MS
        ]
        for service, version in [*self._known, *recent]:
            versions.setdefault(service, set()).add(version)
        return frozenset(name for name, found in versions.items() if len(found) > 1)

    # -- changes of marks

    def services_to_mark(
        self, delay_ms: Callable[[str], int], now_ms: int
    ) -> frozenset[str]:
        """Return the services for which this instance should write marks now.

        :param delay_ms: for how long this instance leaves the marks of a service to
            others.
        :param now_ms: the current time.
        """
        return frozenset(
            origin.service
            for origin, since_ms in self._unmarked_ms.items()
            if origin.service in self._urgent_ms
            or now_ms - since_ms >= delay_ms(origin.service)
        )

    def unmarked_versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that have to be marked.

        :param service: name of the service.
        """
        return frozenset(
            origin.version for origin in self._unmarked_ms if origin.service == service
        )

    def removable_marks(self, now_ms: int) -> list[Mark]:
        """Return the marks of versions that have not been listed for a long time.

        :param now_ms: the current time.
        """
        return [
            Mark(origin, known.stamp)
            for origin, known in self._known.items()
            if now_ms - known.since_ms >= REMOVE_MS
            and now_ms - self._listed_ms.get(origin, 0) >= REMOVE_MS
        ]

    def needs_listing(self, now_ms: int) -> bool:
        """Return whether the marks should be read again.

        :param now_ms: the current time.
        """
        if not self.has_read:
            return True
        is_due = now_ms - self.read_ms >= RELIST_MS
        return is_due and bool(self.removable_marks(now_ms))

    # -- what the store holds

    def apply_listing(
        self, stamps: Mapping[StreamOrigin, int], now_ms: int, *, complete: bool
    ) -> None:
        """Apply the marks of the store.

        :param stamps: the stamp of each marked version.
        :param now_ms: the current time.
        :param complete: whether the store holds no others.
        """
        self.has_read = True
        self.read_ms = now_ms
        if complete:
            for origin in [each for each in self._known if each not in stamps]:
                self.remove(origin)
        for origin, stamp in stamps.items():
            self.add(Mark(origin, stamp), now_ms)

    def add(self, mark: Mark, now_ms: int) -> None:
        """Add a mark that the store holds.

        :param mark: the mark.
        :param now_ms: the current time.
        """
        known = self._known.get(mark.origin)
        if known is not None and known.stamp == mark.stamp:
            return
        self._known[mark.origin] = _Known(mark.stamp, now_ms)
        self._stale.discard(mark.origin)
        self._unmarked_ms.pop(mark.origin, None)
        if not self.unmarked_versions(mark.origin.service):
            self.end_wait(mark.origin.service)

    def stamps(self) -> dict[StreamOrigin, int]:
        """Return the stamp of each version that is known to be marked."""
        return {origin: known.stamp for origin, known in self._known.items()}

    def remove(self, origin: StreamOrigin) -> None:
        """Remove a mark that the store does not hold any more.

        :param origin: the version.
        """
        self._known.pop(origin, None)
        self._stale.discard(origin)
