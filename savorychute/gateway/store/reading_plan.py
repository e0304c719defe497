"""Which instances read the store, and when the others read it themselves."""

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
# A reader notices within half a second that the store answers again, and tells the others;
# a store that is down gets a few calls a second from it, not hundreds.
READER_RETRY_MS = 500
# The other instances also try for themselves, since the store may have turned away the
# readers alone; the more they are, the longer each waits, up to the share below.
RETRY_SPACING_MS = 30
# Part of the time in which a leaving endpoint must get nothing new; longer than this no
# instance waits for its next try, so that 195 instances with a notice of 4 s still make some
# 120 tries a second together.
RETRY_SHARE = 0.4
# One may be killed and a second cut off from the store at the same time.
READERS = 3
# Among few instances two are enough: the others notice within a question.
READERS_OF_FEW = 2
FEW = 24
# So many a second take a reader far less than 1 % of a core.
QUESTIONS_PER_S = 48
# Parts of the time in which a leaving endpoint must get nothing new.  After the first one
# a reader is asked again; knowledge older than the second is not left to others to renew.
# What a reader tells is up to two fifths old, so an instance whose readers answer never
# reads by itself, and the rest is enough for a read and for requests under way.
ASK_SHARE = 0.25
ENDPOINT_STALE_SHARE = 0.7


class ReadingPlan:
    """Lets a few instances read the store for all.

    Every call to the store has a price, and each instance that polls it learns the
    same.  The readers are those that win a
    hash over the members, spread over failure domains; views that differ for a moment
    only make a reader more or less.

    The store stays the only authority.  Whoever is asked tells how old its knowledge
    is, and an instance that hears nothing fresh reads by itself, so no promise depends
    on a reader.

    :param configuration: what is in force here.
    :param drain_notice_ms: within which a leaving endpoint must get nothing new.
    :param clock: the time.
    """

    def __init__(
        self, configuration: ConfigurationState, drain_notice_ms: int, clock: Clock
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._endpoint_stale_ms = int(ENDPOINT_STALE_SHARE * drain_notice_ms)
        self.ask_ms = int(ASK_SHARE * drain_notice_ms)
        self._longest_retry_ms = int(RETRY_SHARE * drain_notice_ms)
        self._readers: tuple[MemberAddress, ...] = ()
        self._view: MemberView | None = None
        # Until the others are known an instance reads what it lacks, but not for all.
        self.is_reader = False
        self.wanted_version = -1
        self.endpoints_ms: int | None = None
        self.must_list_endpoints = False
        # Set while no reader answers with fresh knowledge: all may be cut off.
        self.nobody_vouches = False
        # Topics whose last read failed; an instance with any vouches for nothing.
        self.failing_topics: set[str] = set()

    def follow(self, view: MemberView) -> None:
        """Choose the readers anew if the members have changed.

        :param view: the members.
        """
        if view is self._view:
            return
        self._view = view
        alive = [each for each in view.alive if each.instance not in view.suspects]
        least = READERS if len(alive) > FEW else READERS_OF_FEW
        questions_per_s = len(alive) * MS_PER_S / self.ask_ms
        count = max(least, ceil(questions_per_s / QUESTIONS_PER_S))
        self._readers = choose_homes(READER_KEY, alive, count)
        self.is_reader = view.own in self._readers or len(self._readers) < count

    def other_readers(self) -> list[MemberAddress]:
        """Return the readers besides this instance."""
        view = self._view
        return [each for each in self._readers if view is None or each != view.own]

    def endpoint_age_ms(self, now_ms: int) -> int | None:
        """Return how old what is known of endpoints is; None for never."""
        return now_ms - self.endpoints_ms if self.endpoints_ms is not None else None

    def endpoints_confirmed(self, began_ms: int) -> None:
        """Note that a read or a question which began then brought all changes."""
        self.endpoints_ms = max(self.endpoints_ms or began_ms, began_ms)

    def is_regular(self) -> bool:
        """Return whether this instance reads all the time."""
        return self.is_reader or self.nobody_vouches

    def may_wait(self) -> bool:
        """Return whether a read may wait for a change.

        Before anything is published nobody has what this instance lacks, and reads that
        return at once would only repeat that.
        """
        return self.is_regular() or self._configuration.table is None

    def longest_retry_ms(self) -> int:
        """Return the longest pause between two reads that fail."""
        if self.is_reader:
            return READER_RETRY_MS
        members = len(self._view.alive) if self._view is not None else 1
        spaced_ms = max(READER_RETRY_MS, RETRY_SPACING_MS * members)
        return min(spaced_ms, self._longest_retry_ms)

    def reads_configuration(self) -> bool:
        """Return whether this instance has to read the configuration itself now."""
        if self.is_regular() or self._configuration.table is None:
            return True
        if self.wanted_version > self._configuration.version:
            return True
        # Nobody is known that could vouch for it.
        age_ms = self._configuration.age_ms(self._clock.now_ms())
        return self._view is None and age_ms > self._endpoint_stale_ms

    def reads_endpoints(self) -> bool:
        """Return whether this instance has to read the entries itself now."""
        if self.is_regular() or self.must_list_endpoints:
            return True
        age_ms = self.endpoint_age_ms(self._clock.now_ms())
        return age_ms is None or age_ms > self._endpoint_stale_ms
