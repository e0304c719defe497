"""What one instance knows of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import xxhash

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth
from savorychute.gateway.requests.rank import LEAST_URGENT_RANK

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad

# A report is made from figures of that long ago.
REPORT_LAG_MS = 200
# A queue that was reported this long ago may be gone.
QUEUE_MS = 150


class _Sent(NamedTuple):
    sent_ms: int
    tokens: int
    rank: int


class EndpointUser(Protocol):
    """Something under way at an endpoint."""

    def endpoint_over(self) -> None:
        """Take in that the endpoint's run is over."""
        ...


class EndpointRecord:
    """An endpoint's entry, its health, its last report, and what this instance has there.

    ``hash_key`` and ``lane_key`` place the endpoint among others by its name, alike on all
    instances.  Endpoints that stay go before those that may be taken away: the first ones
    serve the streams that must not pause.

    :param entry: what the platform lists.
    """

    __slots__ = (
        '_steady',
        '_unread',
        '_users',
        'entry',
        'hash_key',
        'health',
        'heard_ms',
        'lane_key',
        'load',
        'load_ms',
        'missing_until_ms',
        'outstanding',
        'over',
    )

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.hash_key = entry.endpoint.encode()
        name_key = int(xxhash.xxh3_64_intdigest(self.hash_key))
        self.lane_key = (not entry.reclaimable, name_key)
        self.health = EndpointHealth()
        self.heard_ms = 0
        self.load: EngineLoad | None = None
        self.load_ms = 0
        self.outstanding = 0
        self.over = False
        self.missing_until_ms: int | None = None
        self._unread: dict[EndpointUser, _Sent] = {}
        self._users: dict[EndpointUser, _Sent] = {}
        self._steady: set[EndpointUser] = set()

    def begin(
        self,
        attempt: EndpointUser,
        prompt_tokens: int,
        now_ms: int,
        *,
        rank: int = 0,
        steady: bool = False,
    ) -> None:
        """Count a request that is sent there.

        :param attempt: identifies it.
        :param prompt_tokens: what it is expected to read anew.
        :param now_ms: the time.
        :param rank: its urgency, 0 first.
        :param steady: whether it is a stream that would be late beside long prompts.
        """
        self.outstanding += 1
        sent = _Sent(now_ms, prompt_tokens, rank)
        self._users[attempt] = sent
        self._unread[attempt] = sent
        if steady:
            self._steady.add(attempt)

    def end_reading(self, attempt: EndpointUser) -> None:
        """Note that a request has begun to generate, or is gone."""
        self._unread.pop(attempt, None)

    def end(self, attempt: EndpointUser) -> None:
        """Note that a request is no longer there."""
        self.end_reading(attempt)
        self._users.pop(attempt, None)
        self._steady.discard(attempt)
        self.outstanding -= 1

    @property
    def steady_streams(self) -> int:
        """This instance's streams there that would be late beside long prompts."""
        return len(self._steady)

    def run_over(self) -> None:
        """Note that the endpoint has started again, and tell whoever waits for it.

        The connection to a run that lost power stays open, and probes of the address
        find the new run alive; callers would wait until their deadline.
        """
        self.over = True
        for user in tuple(self._users):
            user.endpoint_over()

    def report(self, load: EngineLoad, now_ms: int) -> None:
        """Take in a report.

        :param load: what it says.
        :param now_ms: the time.
        """
        self.load = load
        self.load_ms = now_ms
        self.heard_ms = now_ms

    def load_age_ms(self, now_ms: int) -> int | None:
        """Return how old the last report is, or None without one."""
        return now_ms - self.load_ms if self.load is not None else None

    def has_queue(self, now_ms: int) -> bool:
        """Return whether prompts are known to wait at an engine now.

        :param now_ms: the time.
        """
        load = self.load
        if load is None or now_ms - self.load_ms > QUEUE_MS:
            return False
        return load.waiting > 0

    def unread_tokens(self, rank: int = LEAST_URGENT_RANK) -> int:
        """Return what this instance's requests still have to read there.

        :param rank: count only those that are at least as urgent.
        """
        return sum(each.tokens for each in self._unread.values() if each.rank <= rank)

    def unreported_tokens(self, rank: int = LEAST_URGENT_RANK) -> int:
        """Return what is still to be read, and the last report cannot have counted yet.

        :param rank: count only requests that are at least as urgent.
        """
        since_ms = self.load_ms - REPORT_LAG_MS
        return sum(
            each.tokens
            for each in self._unread.values()
            if each.rank <= rank and each.sent_ms >= since_ms
        )

    def unreported(self, rank: int = LEAST_URGENT_RANK) -> int:
        """Return how many requests the last report cannot have counted yet.

        Those that have begun to generate since are among them.

        :param rank: count only requests that are at least as urgent.
        """
        since_ms = self.load_ms - REPORT_LAG_MS
        return sum(
            each.rank <= rank and each.sent_ms >= since_ms
            for each in self._users.values()
        )
