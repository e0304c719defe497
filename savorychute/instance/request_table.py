"""The requests in progress at an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.instance.tracked_request import TrackedRequest


class RequestTable:
    """Requests in progress by id, attempt and pool."""

    def __init__(self) -> None:
        self._requests: dict[str, TrackedRequest] = {}
        self._by_attempt: dict[str, TrackedRequest] = {}
        self._running: dict[str, dict[str, TrackedRequest]] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[TrackedRequest]:
        return iter(tuple(self._requests.values()))

    def add(self, tracked: TrackedRequest) -> None:
        """Add a request."""
        self._requests[tracked.request_id] = tracked

    def find(self, request_id: str) -> TrackedRequest | None:
        """Return the request with this id, if it is in progress."""
        return self._requests.get(request_id)

    def find_by_attempt(self, attempt_id: str) -> TrackedRequest | None:
        """Return the request whose current attempt has this id.

        An earlier attempt of the same request is not found, so a late chunk
        can never reach a caller.
        """
        return self._by_attempt.get(attempt_id)

    def attach_attempt(self, tracked: TrackedRequest) -> None:
        """Index the current attempt of the request."""
        attempt = tracked.attempt
        if attempt is None:
            return
        self._by_attempt[attempt.attempt_id] = tracked
        self._running.setdefault(tracked.pool, {})[tracked.request_id] = tracked

    def detach_attempt(self, tracked: TrackedRequest) -> None:
        """Remove the current attempt of the request."""
        attempt = tracked.attempt
        if attempt is None:
            return
        self._by_attempt.pop(attempt.attempt_id, None)
        self._running.get(tracked.pool, {}).pop(tracked.request_id, None)
        tracked.attempt = None

    def running(self, pool: str) -> list[TrackedRequest]:
        """Return the requests of the pool that have an attempt."""
        return list(self._running.get(pool, {}).values())

    def running_pools(self) -> list[str]:
        """Return the pools that have attempts in progress."""
        return [pool for pool, requests in self._running.items() if requests]

    def remove(self, tracked: TrackedRequest) -> None:
        """Remove a request and its attempt."""
        self.detach_attempt(tracked)
        self._requests.pop(tracked.request_id, None)
