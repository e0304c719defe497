"""Selects the instances that read the store, and when others read it themselves."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from savorychute.clock import Clock
    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

READER_KEY = 'store-readers'
# A reader notices within half a second that the store responds again, and informs the
# other instances; while the store is down, it gets a few calls per second from a reader
# rather than hundreds.
READER_MAX_RETRY_MS = 500
# The other instances also retry, since the store may have rejected only the readers.
# Their delay grows with the number of instances, up to the share below.
RETRY_SPACING_MS = 30
# The longest retry delay of the other instances, as a share of the drain notice, within
# which a leaving endpoint must get nothing new. With a notice of 4 s, 195 instances
# together still make about 120 attempts per second.
MAX_RETRY_SHARE = 0.4
# One reader may be killed and a second one disconnected from the store at the same
# time.
MIN_READERS = 3
# With few instances, two readers suffice: the others notice a failed one at their next
# query.
MIN_READERS_IF_FEW = 2
FEW_INSTANCES = 24
# The most queries per second to one reader; they take far less than 1 % of a core.
MAX_QUERIES_PER_S = 48
# Shares of the drain notice, within which a leaving endpoint must get nothing new. A
# reader is queried again after the first share. State older than the second share makes
# an instance read the store itself. The state in a reader's response is up to two
# fifths of the notice old, so an instance never reads itself while its readers respond,
# and the remaining time suffices for a read and for requests in flight.
QUERY_SHARE = 0.25
ENDPOINT_STALE_SHARE = 0.7


class ReadPlan:
    """Lets a few instances read the store for all.

    Every call to the store has a price, and all instances that poll it get the same
    records. The readers are selected from the members by rendezvous hashing, spread
    over failure domains. Views that differ for a moment only cause one reader more or
    less.

    The store remains the only authority. Each response between instances states the age
    of its content, and an instance without fresh responses reads the store itself, so
    no guarantee depends on a reader.

    :param configuration: the applied configuration.
    :param drain_notice_ms: the time within which a leaving endpoint must get nothing
        new.
    :param clock: the current time.
    """

    def __init__(
        self, configuration: ConfigurationState, drain_notice_ms: int, clock: Clock
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._endpoint_stale_ms = int(ENDPOINT_STALE_SHARE * drain_notice_ms)
        self.query_interval_ms = int(QUERY_SHARE * drain_notice_ms)
        self._max_retry_ms = int(MAX_RETRY_SHARE * drain_notice_ms)
        self._readers: tuple[MemberAddress, ...] = ()
        self._view: MemberView | None = None
        # Until the other members are known, an instance reads what it lacks, but not
        # for all.
        self.is_reader = False
        self.announced_version = -1
        self.endpoints_confirmed_ms: int | None = None
        self.must_list_endpoints = False
        # Set while no reader responds with fresh state: all of them may be
        # disconnected.
        self.no_fresh_reader = False
        # Topics whose last read failed; while there are any, responses confirm nothing.
        self.failing_topics: set[str] = set()

    def set_view(self, view: MemberView) -> None:
        """Select the readers again if the members have changed.

        :param view: the current members.
        """
        if view is self._view:
            return
        self._view = view
        alive = [each for each in view.alive if each.instance not in view.suspects]
        min_readers = MIN_READERS if len(alive) > FEW_INSTANCES else MIN_READERS_IF_FEW
        queries_per_s = len(alive) * MS_PER_S / self.query_interval_ms
        count = max(min_readers, ceil(queries_per_s / MAX_QUERIES_PER_S))
        self._readers = choose_homes(READER_KEY, alive, count)
        self.is_reader = view.own in self._readers or len(self._readers) < count

    def other_readers(self) -> list[MemberAddress]:
        """Return the readers other than this instance."""
        view = self._view
        return [each for each in self._readers if view is None or each != view.own]

    def endpoint_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the state of endpoints; None if there is none."""
        return (
            now_ms - self.endpoints_confirmed_ms
            if self.endpoints_confirmed_ms is not None
            else None
        )

    def confirm_endpoints(self, started_ms: int) -> None:
        """Record a read or a query that returned all changes as of its start."""
        self.endpoints_confirmed_ms = max(
            self.endpoints_confirmed_ms or started_ms, started_ms
        )

    def reads_for_all(self) -> bool:
        """Return whether this instance reads continuously."""
        return self.is_reader or self.no_fresh_reader

    def can_wait(self) -> bool:
        """Return whether a read may wait for a change.

        Before the first configuration is published, no other instance has one either,
        and reads that return at once would only repeat that.
        """
        return self.reads_for_all() or self._configuration.table is None

    def max_retry_ms(self) -> int:
        """Return the longest delay between two failing reads."""
        if self.is_reader:
            return READER_MAX_RETRY_MS
        members = len(self._view.alive) if self._view is not None else 1
        spaced_ms = max(READER_MAX_RETRY_MS, RETRY_SPACING_MS * members)
        return min(spaced_ms, self._max_retry_ms)

    def must_read_configuration(self) -> bool:
        """Return whether this instance must read the configuration itself now."""
        if self.reads_for_all() or self._configuration.table is None:
            return True
        if self.announced_version > self._configuration.version:
            return True
        # No other instance is known that could confirm it.
        age_ms = self._configuration.age_ms(self._clock.now_ms())
        return self._view is None and age_ms > self._endpoint_stale_ms

    def must_read_endpoints(self) -> bool:
        """Return whether this instance must read the entries itself now."""
        if self.reads_for_all() or self.must_list_endpoints:
            return True
        age_ms = self.endpoint_age_ms(self._clock.now_ms())
        return age_ms is None or age_ms > self._endpoint_stale_ms
