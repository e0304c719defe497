"""Decides whether requests with caller-supplied keys may run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.ran import Ran
from savorychute.requests.claim import Claim
from savorychute.requests.claim_homes import ClaimHomes
from savorychute.requests.claim_index import ClaimIndex
from savorychute.requests.claim_owner import ClaimOwner
from savorychute.requests.claim_reader import ClaimReader
from savorychute.requests.claim_writer import ClaimWriter
from savorychute.requests.key_redirect import KeyRedirect
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_store import KeyStore
from savorychute.requests.pending_claim import PendingClaim
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.inputs.records_read import RecordsRead
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView
    from savorychute.requests.claim_entry import ClaimEntry
    from savorychute.requests.key_outcome import KeyOutcome
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.redirect_memory import RedirectMemory
    from savorychute.requests.request_key import RequestKey


class ClaimHandler:
    """Permits a request only if its claim is the first claim of its key in the log.

    As long as no claim of a key was read, the key may be running at another
    instance.  A request refused at that point is therefore refused as
    ``UNKNOWN``, to be sent again with the same key, never as ``NOT_RUN``.

    :param settings: limits and intervals.
    :param address: the address of this instance.
    :param redirects: the keys that were redirected recently.
    """

    def __init__(
        self,
        settings: KeySettings,
        address: MemberAddress,
        redirects: RedirectMemory,
    ) -> None:
        self._settings = settings
        self._redirects = redirects
        self._owner = ClaimOwner(address.instance, address.incarnation)
        self.store = KeyStore(settings)
        self._index = ClaimIndex(settings)
        self._reader = ClaimReader(settings, self._index)
        self._writer = ClaimWriter(settings, self._owner)
        self._homes = ClaimHomes(settings, address)
        self._read_until_ms = 0
        self._pending: dict[int, PendingClaim] = {}

    def admit(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        view: MemberView,
        wall_ms: int,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Decide a key from what is known, or claim it.

        :param request_id: the id of the request.
        :param key: the key that the caller supplied.
        :param fingerprint: the fingerprint of the request.
        :param view: the current members.
        :param wall_ms: the current wall-clock time.
        :param now_ms: the current time.
        """
        record = self.store.find(key.sequence)
        if record is not None:
            return list(self.store.join(request_id, record, fingerprint))
        if self._should_redirect(key, now_ms):
            return [KeyRedirect(request_id, self._homes.home_of(key))]
        refused = self._check_time(request_id, key, wall_ms)
        if refused is not None:
            return [refused]
        entry = self._index.find(key.sequence)
        if entry is not None:
            return self._apply_entry(request_id, key, fingerprint, entry, view, now_ms)
        return self._claim(request_id, key, fingerprint, wall_ms, now_ms)

    def release(self, key: RequestKey) -> None:
        """Announce in the log that a key of this instance was settled as not run.

        :param key: the key.
        """
        self._writer.release(_hex_of(key))

    def remove_waiter(self, request_id: str) -> None:
        """Remove a request that waits for its claim.

        :param request_id: a request whose caller has disconnected.
        """
        for sequence, pending in self._pending.items():
            if request_id not in pending.request_ids:
                continue
            remaining = tuple(r for r in pending.request_ids if r != request_id)
            self._pending[sequence] = pending._replace(request_ids=remaining)
            if not remaining:
                self._abandon(pending)
            return

    def append_finished(
        self, finished: AppendFinished, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Handle the result of an append.

        :param finished: the result.
        :param now_ms: the current time.
        """
        results: list[KeyOutcome | Action] = []
        for claim in self._writer.handle_result(finished, now_ms):
            pending = self._pending.get(int(claim.key, 16))
            if pending is not None:
                results += self._refuse_pending(pending)
        self._reader.read_promptly()
        return [*results, *self._reader.tick(bool(self._pending), now_ms)]

    def records_read(
        self, read: RecordsRead, view: MemberView, wall_ms: int, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Apply records that were read and decide the claims among them.

        :param read: the result of the read.
        :param view: the current members.
        :param wall_ms: the current wall-clock time.
        :param now_ms: the current time.
        """
        results: list[KeyOutcome | Action] = []
        for batch in self._reader.apply(read, wall_ms, now_ms):
            for claim in batch.claims:
                results += self._decide(claim, view, now_ms)
        results += self._reader.tick(bool(self._pending), now_ms)
        return results

    def tick(
        self, view: MemberView, wall_ms: int, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Append and read as due, refuse timed-out claims, remove expired records.

        :param view: the current members.
        :param wall_ms: the current wall-clock time.
        :param now_ms: the current time.
        """
        self._homes.refresh(view, now_ms)
        results: list[KeyOutcome | Action] = []
        for pending in list(self._pending.values()):
            if now_ms >= pending.deadline_ms:
                results += self._refuse_pending(pending)
        self._writer.expire(now_ms)
        results += self._append_batch(wall_ms, now_ms)
        if self._homes.is_home or self._pending or now_ms < self._read_until_ms:
            results += self._reader.tick(bool(self._pending), now_ms)
        self._index.remove_expired(wall_ms)
        self.store.remove_expired(self._index.earliest_decidable_ms or 0, now_ms)
        return results

    def next_due_ms(self) -> int | None:
        """Return when :meth:`tick` is due next, or None."""
        due_times_ms: list[int | None] = [p.deadline_ms for p in self._pending.values()]
        if self._reader.cursor is not None:
            due_times_ms.append(self._writer.next_due_ms())
        if self._homes.is_home or self._pending:
            due_times_ms.append(self._reader.next_due_ms(bool(self._pending)))
        return min((due for due in due_times_ms if due is not None), default=None)

    def _should_redirect(self, key: RequestKey, now_ms: int) -> bool:
        """Return whether the caller should be redirected to the key's home.

        A caller that retries here could not reach the home, or the home
        redirected it to this instance; then this instance reads the claims and
        claims the key itself.
        """
        if self._homes.is_home or key.sequence in self._pending:
            return False
        if not self._redirects.is_retry(f'home/{key.text}', now_ms):
            return True
        self._read_until_ms = now_ms + self._settings.claim_follow_ms
        return False

    def _check_time(
        self, request_id: str, key: RequestKey, wall_ms: int
    ) -> KeyRefused | None:
        if key.issued_ms > wall_ms + self._settings.clock_margin_ms:
            message = f'the time in key {key.text} lies in the future'
            return _unknown(request_id, ResultCode.KEY_MALFORMED, message)
        if key.issued_ms < wall_ms - self._settings.claim_lifetime_ms:
            message = f'key {key.text} is older than its records'
            return _unknown(request_id, ResultCode.KEY_TOO_OLD, message)
        earliest_decidable_ms = self._index.earliest_decidable_ms
        if earliest_decidable_ms is None or key.issued_ms < earliest_decidable_ms:
            message = f'claims as old as key {key.text} were not read here'
            return _unknown(request_id, ResultCode.NOT_READY, message)
        return None

    def _claim(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        wall_ms: int,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        pending = self._pending.get(key.sequence)
        if pending is not None:
            return self._join(request_id, pending, fingerprint)
        if self._reader.is_failing or self._writer.is_unavailable(now_ms):
            message = 'the log does not answer; send again with the same key'
            return [_unknown(request_id, ResultCode.LOG_UNAVAILABLE, message)]
        if len(self._pending) >= self._settings.max_pending_claims:
            message = 'too many claims wait; send again with the same key'
            return [_unknown(request_id, ResultCode.MEMORY_EXHAUSTED, message)]
        deadline_ms = now_ms + self._settings.claim_wait_ms
        self._pending[key.sequence] = PendingClaim(
            key, fingerprint, (request_id,), deadline_ms
        )
        self._writer.add(Claim(_hex_of(key), fingerprint))
        return self._append_batch(wall_ms, now_ms)

    def _join(
        self, request_id: str, pending: PendingClaim, fingerprint: str
    ) -> list[KeyOutcome | Action]:
        if pending.fingerprint != fingerprint:
            message = f'key {pending.key.text} stands for another request'
            return [_unknown(request_id, ResultCode.KEY_REUSED, message)]
        if len(pending.request_ids) >= self._settings.max_waiting_per_key:
            message = f'key {pending.key.text} is in progress; ask again later'
            return [_unknown(request_id, ResultCode.OUTCOME_UNKNOWN, message)]
        request_ids = (*pending.request_ids, request_id)
        joined = pending._replace(request_ids=request_ids)
        self._pending[pending.key.sequence] = joined
        return []

    def _append_batch(self, wall_ms: int, now_ms: int) -> list[KeyOutcome | Action]:
        cursor = self._reader.cursor
        if cursor is None:
            return []
        append = self._writer.next_append(wall_ms, cursor, now_ms)
        return [] if append is None else [append]

    def _decide(
        self, claim: Claim, view: MemberView, now_ms: int
    ) -> list[KeyOutcome | Action]:
        pending = self._pending.pop(int(claim.key, 16), None)
        if pending is None:
            return []
        self._writer.remove(claim.key)
        entry = self._index.find(pending.key.sequence)
        if entry is None or pending.key.issued_ms < (
            self._index.earliest_decidable_ms or 0
        ):
            # Records expired before they were read while this claim was in
            # flight; an earlier claim may be among them.
            return self._refuse_pending(pending)
        results: list[KeyOutcome | Action] = []
        for request_id in pending.request_ids:
            results += self._apply_entry(
                request_id, pending.key, pending.fingerprint, entry, view, now_ms
            )
        return results

    def _apply_entry(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        entry: ClaimEntry,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Decide a request by the first claim of its key."""
        if entry.fingerprint != fingerprint:
            message = f'key {key.text} stands for another request'
            code = ResultCode.KEY_REUSED
            return [KeyRefused(request_id, code, Ran.NOT_RUN, message)]
        if entry.released:
            message = f'key {key.text} did not run; send again with a new key'
            code = ResultCode.KEY_REVOKED
            return [KeyRefused(request_id, code, Ran.NOT_RUN, message)]
        if entry.owner == self._owner:
            return list(self._run(request_id, key, fingerprint))
        owner = view.address_of(entry.owner.instance)
        is_unavailable = owner is None or owner.incarnation > entry.owner.incarnation
        is_self = entry.owner.instance == self._owner.instance
        if is_unavailable or is_self or self._redirects.is_retry(key.text, now_ms):
            message = f'the instance that decides key {key.text} is gone'
            return [_unknown(request_id, ResultCode.OUTCOME_UNKNOWN, message)]
        assert owner is not None
        return [KeyRedirect(request_id, owner)]

    def _run(
        self, request_id: str, key: RequestKey, fingerprint: str
    ) -> list[KeyOutcome]:
        record = self.store.find(key.sequence)
        if record is not None:
            return self.store.join(request_id, record, fingerprint)
        return self.store.grant(request_id, key, fingerprint)

    def _refuse_pending(self, pending: PendingClaim) -> list[KeyOutcome | Action]:
        self._abandon(pending)
        message = 'the log does not answer; send again with the same key'
        code = ResultCode.LOG_UNAVAILABLE
        return [_unknown(r, code, message) for r in pending.request_ids]

    def _abandon(self, pending: PendingClaim) -> None:
        """Stop waiting for a claim.

        The claim may reach the log later; a retry of the request then uses it.
        """
        self._pending.pop(pending.key.sequence, None)
        self._writer.remove(_hex_of(pending.key))


def _hex_of(key: RequestKey) -> str:
    return f'{key.sequence:032x}'


def _unknown(request_id: str, code: ResultCode, message: str) -> KeyRefused:
    return KeyRefused(request_id, code, Ran.UNKNOWN, message)
