"""Appends claims to the log in batches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.append_record import AppendRecord
from savorychute.requests.claim_batch import CLAIMS_STREAM, ClaimBatch

if TYPE_CHECKING:
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.requests.claim import Claim
    from savorychute.requests.claim_owner import ClaimOwner
    from savorychute.requests.key_settings import KeySettings


class ClaimWriter:
    """Batches claims, with one append in flight at a time.

    A single claim is appended at once.  Under load, the claims that arrive
    while an append is in flight, or within ``claim_batch_ms`` of the previous
    one, share one append, so a slow log leads to larger batches instead of more
    appends.

    :param settings: limits and intervals.
    :param owner: this incarnation.
    """

    def __init__(self, settings: KeySettings, owner: ClaimOwner) -> None:
        self._settings = settings
        self._owner = owner
        self._claims: dict[str, Claim] = {}
        self._released: list[str] = []
        self._sent: dict[str, tuple[Claim, ...]] = {}
        self._batch_count = 0
        self._sent_ms = 0
        self._next_append_ms = 0
        self._unavailable_until_ms = 0

    @property
    def is_append_pending(self) -> bool:
        """Whether an append is in flight."""
        return bool(self._sent)

    def is_unavailable(self, now_ms: int) -> bool:
        """Return whether an append failed recently, so that claims cannot succeed.

        :param now_ms: the current time.
        """
        return now_ms < self._unavailable_until_ms

    def add(self, claim: Claim) -> None:
        """Queue a claim for the next batch.

        :param claim: the claim.
        """
        self._claims[claim.key] = claim

    def remove(self, key: str) -> None:
        """Remove a claim from the queue if it was not appended yet.

        :param key: the claimed key.
        """
        self._claims.pop(key, None)

    def release(self, key: str) -> None:
        """Queue the release of an owned key, which was not run and never will be.

        :param key: the key.
        """
        if len(self._released) < self._settings.claim_batch_count:
            self._released.append(key)

    def next_append(
        self, wall_ms: int, seen_offset: int, now_ms: int
    ) -> AppendRecord | None:
        """Return the append of the next batch if one is due.

        :param wall_ms: the current wall-clock time.
        :param seen_offset: the offset before which every record was read.
        :param now_ms: the current time.
        """
        if not self._claims and not self._released:
            return None
        if self._sent or now_ms < self._next_append_ms or self.is_unavailable(now_ms):
            return None
        batch = self._make_batch(wall_ms, seen_offset)
        self._sent[batch.batch_id] = batch.claims
        self._sent_ms = now_ms
        self._next_append_ms = now_ms + self._settings.claim_batch_ms
        return AppendRecord(batch.batch_id, CLAIMS_STREAM, batch.encode())

    def handle_result(self, finished: AppendFinished, now_ms: int) -> tuple[Claim, ...]:
        """Handle the result of an append; return the claims that were not appended.

        A claim whose result is unknown is not among them.

        :param finished: the result.
        :param now_ms: the current time.
        """
        claims = self._sent.pop(finished.append_id, ())
        if finished.outcome == 'appended':
            return ()
        self._unavailable_until_ms = now_ms + self._settings.log_retry_ms
        return claims if finished.outcome == 'refused' else ()

    def expire(self, now_ms: int) -> None:
        """Stop waiting for an append whose result did not arrive in time.

        :param now_ms: the current time.
        """
        if now_ms - self._sent_ms >= self._settings.claim_wait_ms and self._sent:
            self._sent.clear()
            self._unavailable_until_ms = now_ms + self._settings.log_retry_ms

    def next_due_ms(self) -> int | None:
        """Return when :meth:`next_append` or :meth:`expire` is due next, or None."""
        if self._sent:
            return self._sent_ms + self._settings.claim_wait_ms
        if self._claims or self._released:
            return max(self._next_append_ms, self._unavailable_until_ms)
        return None

    def _make_batch(self, wall_ms: int, seen_offset: int) -> ClaimBatch:
        self._batch_count += 1
        keys = list(self._claims)[: self._settings.claim_batch_count]
        claims = tuple(self._claims.pop(key) for key in keys)
        released = tuple(self._released)
        self._released.clear()
        owner = self._owner
        batch_id = f'claim/{owner.instance}/{owner.incarnation}/{self._batch_count}'
        return ClaimBatch(batch_id, owner, wall_ms, seen_offset, claims, released)
