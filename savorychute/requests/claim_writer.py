"""Appends claims in groups."""

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
    """Commits claims in groups, one append at a time.

    A lone claim is appended at once; under load the claims that arrive while
    an append is on its way, or within ``claim_batch_ms`` of the last one, go
    together.  So a slow log makes larger groups, not more appends.

    :param settings: bounds.
    :param owner: this incarnation.
    """

    def __init__(self, settings: KeySettings, owner: ClaimOwner) -> None:
        self._settings = settings
        self._owner = owner
        self._claims: dict[str, Claim] = {}
        self._released: list[str] = []
        self._sent: dict[str, tuple[Claim, ...]] = {}
        self._batch_count = 0
        self._asked_ms = 0
        self._next_ms = 0
        self._down_until_ms = 0

    @property
    def is_waiting(self) -> bool:
        """Whether an append is on its way."""
        return bool(self._sent)

    def is_down(self, now_ms: int) -> bool:
        """Return whether the log refused lately, so that waiting is in vain.

        :param now_ms: the time.
        """
        return now_ms < self._down_until_ms

    def add(self, claim: Claim) -> None:
        """Queue a claim for the next group.

        :param claim: the claim.
        """
        self._claims[claim.key] = claim

    def drop(self, key: str) -> None:
        """Take a claim out again if it was not appended yet.

        :param key: the claimed key.
        """
        self._claims.pop(key, None)

    def release(self, key: str) -> None:
        """Queue the news that an owned key was not run and never will be.

        :param key: the key.
        """
        if len(self._released) < self._settings.claim_batch_count:
            self._released.append(key)

    def flush(self, wall_ms: int, seen_offset: int, now_ms: int) -> AppendRecord | None:
        """Return the append of the next group if it is time for it.

        :param wall_ms: the wall-clock time.
        :param seen_offset: what was read so far.
        :param now_ms: the time.
        """
        if not self._claims and not self._released:
            return None
        if self._sent or now_ms < self._next_ms or self.is_down(now_ms):
            return None
        batch = self._take_batch(wall_ms, seen_offset)
        self._sent[batch.batch_id] = batch.claims
        self._asked_ms = now_ms
        self._next_ms = now_ms + self._settings.claim_batch_ms
        return AppendRecord(batch.batch_id, CLAIMS_STREAM, batch.encode())

    def finished(self, finished: AppendFinished, now_ms: int) -> tuple[Claim, ...]:
        """Take the outcome of an append; return claims certainly not in the log.

        :param finished: the outcome.
        :param now_ms: the time.
        """
        claims = self._sent.pop(finished.append_id, ())
        if finished.outcome == 'appended':
            return ()
        self._down_until_ms = now_ms + self._settings.log_retry_ms
        return claims if finished.outcome == 'refused' else ()

    def expire(self, now_ms: int) -> None:
        """Stop waiting for an append whose outcome never came.

        :param now_ms: the time.
        """
        if now_ms - self._asked_ms >= self._settings.claim_wait_ms and self._sent:
            self._sent.clear()
            self._down_until_ms = now_ms + self._settings.log_retry_ms

    def next_due_ms(self) -> int | None:
        """Return when :meth:`flush` or :meth:`expire` has something to do."""
        if self._sent:
            return self._asked_ms + self._settings.claim_wait_ms
        if self._claims or self._released:
            return max(self._next_ms, self._down_until_ms)
        return None

    def _take_batch(self, wall_ms: int, seen_offset: int) -> ClaimBatch:
        self._batch_count += 1
        keys = list(self._claims)[: self._settings.claim_batch_count]
        claims = tuple(self._claims.pop(key) for key in keys)
        released = tuple(self._released)
        self._released.clear()
        owner = self._owner
        batch_id = f'claim/{owner.instance}/{owner.incarnation}/{self._batch_count}'
        return ClaimBatch(batch_id, owner, wall_ms, seen_offset, claims, released)
