"""The requests that an instance is responsible for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.instance.tracked_request import TrackedRequest


class RequestTable:
    """Requests in progress by id, by attempt and by pool."""

    def __init__(self) -> None:
        self._requests: dict[str, TrackedRequest] = {}
        self._by_attempt: dict[str, TrackedRequest] = {}
        self._running: dict[str, dict[str, TrackedRequest]] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[TrackedRequest]:
        return iter(tuple(self._requests.values()))

    def add(self, tracked: TrackedRequest) -> None:
        """Take responsibility for a request."""
        self._requests[tracked.request_id] = tracked

    def find(self, request_id: str) -> TrackedRequest | None:
        """Return the request with this id, if it is in progress."""
        return self._requests.get(request_id)

    def find_attempt(self, attempt_id: str) -> TrackedRequest | None:
        """Return the request whose current attempt has this id.

        News of an earlier attempt of the same request finds nothing here, so
        a late or crossed chunk can never reach a caller.
        """
        return self._by_attempt.get(attempt_id)

    def attach(self, tracked: TrackedRequest) -> None:
        """Note the request's current attempt."""
        attempt = tracked.attempt
        if attempt is None:
            return
        self._by_attempt[attempt.attempt_id] = tracked
        self._running.setdefault(tracked.pool, {})[tracked.request_id] = tracked

    def detach(self, tracked: TrackedRequest) -> None:
        """Forget the request's current attempt."""
        attempt = tracked.attempt
        if attempt is None:
            return
        self._by_attempt.pop(attempt.attempt_id, None)
        self._running.get(tracked.pool, {}).pop(tracked.request_id, None)
        tracked.attempt = None

    def running(self, pool: str) -> list[TrackedRequest]:
        """Return the pool's requests that have an attempt."""
        return list(self._running.get(pool, {}).values())

    def running_pools(self) -> list[str]:
        """Return the pools in which an attempt is in progress."""
        return [pool for pool, requests in self._running.items() if requests]

    def remove(self, tracked: TrackedRequest) -> None:
        """End the responsibility for a request."""
        self.detach(tracked)
        self._requests.pop(tracked.request_id, None)
