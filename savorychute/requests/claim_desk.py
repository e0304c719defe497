"""Decides keys that callers bring."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.ran import Ran
from savorychute.requests.claim import Claim
from savorychute.requests.claim_homes import ClaimHomes
from savorychute.requests.claim_index import ClaimIndex
from savorychute.requests.claim_owner import ClaimOwner
from savorychute.requests.claim_reader import ClaimReader
from savorychute.requests.claim_writer import ClaimWriter
from savorychute.requests.key_elsewhere import KeyElsewhere
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


class ClaimDesk:
    """Runs a request only if its claim was read back as the key's first.

    As long as no claim is known, nobody can tell whether the key runs
    elsewhere; whatever is refused then is refused as 'unknown, ask again with
    the same key', never as 'not run'.

    :param settings: bounds and intervals.
    :param address: this instance.
    :param redirects: which callers were sent away lately.
    """

    def __init__(
        self,
        settings: KeySettings,
        address: MemberAddress,
        redirects: RedirectMemory,
    ) -> None:
        self._settings = settings
        self._redirects = redirects
        self._own = ClaimOwner(address.instance, address.incarnation)
        self.store = KeyStore(settings)
        self._index = ClaimIndex(settings)
        self._reader = ClaimReader(settings, self._index)
        self._writer = ClaimWriter(settings, self._own)
        self._homes = ClaimHomes(settings, address)
        self._follow_until_ms = 0
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
        """Decide a key, or claim it.

        :param request_id: the request.
        :param key: a key that the caller brought.
        :param fingerprint: of the request.
        :param view: the members.
        :param wall_ms: the wall-clock time.
        :param now_ms: the time.
        """
        record = self.store.find(key.sequence)
        if record is not None:
            return list(self.store.join(request_id, record, fingerprint))
        if self._is_sent_home(key, now_ms):
            return [KeyElsewhere(request_id, self._homes.find(key))]
        refused = self._check_time(request_id, key, wall_ms)
        if refused is not None:
            return [refused]
        entry = self._index.find(key.sequence)
        if entry is not None:
            return self._follow(request_id, key, fingerprint, entry, view, now_ms)
        return self._claim(request_id, key, fingerprint, wall_ms, now_ms)

    def release(self, key: RequestKey) -> None:
        """Tell the log that an owned key was settled as not run.

        :param key: the key.
        """
        self._writer.release(_hex_of(key))

    def leave(self, request_id: str) -> None:
        """Stop answering a request.

        :param request_id: a request whose caller left.
        """
        for sequence, pending in self._pending.items():
            if request_id not in pending.request_ids:
                continue
            kept = tuple(r for r in pending.request_ids if r != request_id)
            self._pending[sequence] = pending._replace(request_ids=kept)
            if not kept:
                self._give_up(pending)
            return

    def append_finished(
        self, finished: AppendFinished, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Take the outcome of an append.

        :param finished: the outcome.
        :param now_ms: the time.
        """
        results: list[KeyOutcome | Action] = []
        for claim in self._writer.finished(finished, now_ms):
            pending = self._pending.get(int(claim.key, 16))
            if pending is not None:
                results += self._refuse_pending(pending)
        self._reader.hurry()
        return [*results, *self._reader.tick(bool(self._pending), now_ms)]

    def records_read(
        self, read: RecordsRead, view: MemberView, wall_ms: int, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Take records and decide the claims among them.

        :param read: the records.
        :param view: the members.
        :param wall_ms: the wall-clock time.
        :param now_ms: the time.
        """
        results: list[KeyOutcome | Action] = []
        for batch in self._reader.take(read, wall_ms, now_ms):
            for claim in batch.claims:
                results += self._decide(claim, view, now_ms)
        results += self._reader.tick(bool(self._pending), now_ms)
        return results

    def tick(
        self, view: MemberView, wall_ms: int, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Append, read, give up what took too long, forget.

        :param view: the members.
        :param wall_ms: the wall-clock time.
        :param now_ms: the time.
        """
        self._homes.refresh(view, now_ms)
        results: list[KeyOutcome | Action] = []
        for pending in list(self._pending.values()):
            if now_ms >= pending.give_up_ms:
                results += self._refuse_pending(pending)
        self._writer.expire(now_ms)
        results += self._flush(wall_ms, now_ms)
        if self._homes.is_home or self._pending or now_ms < self._follow_until_ms:
            results += self._reader.tick(bool(self._pending), now_ms)
        self._index.forget_old(wall_ms)
        self.store.forget_old(self._index.floor_ms or 0, now_ms)
        return results

    def next_due_ms(self) -> int | None:
        """Return when :meth:`tick` has something to do, or None."""
        dues: list[int | None] = [p.give_up_ms for p in self._pending.values()]
        if self._reader.cursor is not None:
            dues.append(self._writer.next_due_ms())
        if self._homes.is_home or self._pending:
            dues.append(self._reader.next_due_ms(bool(self._pending)))
        return min((due for due in dues if due is not None), default=None)

    def _is_sent_home(self, key: RequestKey, now_ms: int) -> bool:
        """Return whether the key's caller should go to its home first.

        A caller that comes back could not reach the home, or the home sent it
        here; then this instance reads the claims and claims the key itself.
        """
        if self._homes.is_home or key.sequence in self._pending:
            return False
        if not self._redirects.is_repeated(f'home/{key.text}', now_ms):
            return True
        self._follow_until_ms = now_ms + self._settings.claim_follow_ms
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
        floor_ms = self._index.floor_ms
        if floor_ms is None or key.issued_ms < floor_ms:
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
        if self._reader.is_failing or self._writer.is_down(now_ms):
            message = 'the log does not answer; send again with the same key'
            return [_unknown(request_id, ResultCode.LOG_UNAVAILABLE, message)]
        if len(self._pending) >= self._settings.max_pending_claims:
            message = 'too many claims wait; send again with the same key'
            return [_unknown(request_id, ResultCode.MEMORY_EXHAUSTED, message)]
        give_up_ms = now_ms + self._settings.claim_wait_ms
        self._pending[key.sequence] = PendingClaim(
            key, fingerprint, (request_id,), give_up_ms
        )
        self._writer.add(Claim(_hex_of(key), fingerprint))
        return self._flush(wall_ms, now_ms)

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

    def _flush(self, wall_ms: int, now_ms: int) -> list[KeyOutcome | Action]:
        cursor = self._reader.cursor
        if cursor is None:
            return []
        append = self._writer.flush(wall_ms, cursor, now_ms)
        return [] if append is None else [append]

    def _decide(
        self, claim: Claim, view: MemberView, now_ms: int
    ) -> list[KeyOutcome | Action]:
        pending = self._pending.pop(int(claim.key, 16), None)
        if pending is None:
            return []
        self._writer.drop(claim.key)
        entry = self._index.find(pending.key.sequence)
        if entry is None or pending.key.issued_ms < (self._index.floor_ms or 0):
            # Records expired unread while the claim was on its way, so an
            # earlier claim may be among them.
            return self._refuse_pending(pending)
        results: list[KeyOutcome | Action] = []
        for request_id in pending.request_ids:
            results += self._follow(
                request_id, pending.key, pending.fingerprint, entry, view, now_ms
            )
        return results

    def _follow(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        entry: ClaimEntry,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Answer a request as the first claim of its key says."""
        if entry.fingerprint != fingerprint:
            message = f'key {key.text} stands for another request'
            code = ResultCode.KEY_REUSED
            return [KeyRefused(request_id, code, Ran.NOT_RUN, message)]
        if entry.released:
            message = f'key {key.text} did not run; send again with a new key'
            code = ResultCode.KEY_REVOKED
            return [KeyRefused(request_id, code, Ran.NOT_RUN, message)]
        if entry.owner == self._own:
            return list(self._run(request_id, key, fingerprint))
        owner = view.address_of(entry.owner.instance)
        is_gone = owner is None or owner.incarnation > entry.owner.incarnation
        is_self = entry.owner.instance == self._own.instance
        if is_gone or is_self or self._redirects.is_repeated(key.text, now_ms):
            message = f'the instance that decides key {key.text} is gone'
            return [_unknown(request_id, ResultCode.OUTCOME_UNKNOWN, message)]
        assert owner is not None
        return [KeyElsewhere(request_id, owner)]

    def _run(
        self, request_id: str, key: RequestKey, fingerprint: str
    ) -> list[KeyOutcome]:
        record = self.store.find(key.sequence)
        if record is not None:
            return self.store.join(request_id, record, fingerprint)
        return self.store.take_up(request_id, key, fingerprint)

    def _refuse_pending(self, pending: PendingClaim) -> list[KeyOutcome | Action]:
        self._give_up(pending)
        message = 'the log does not answer; send again with the same key'
        code = ResultCode.LOG_UNAVAILABLE
        return [_unknown(r, code, message) for r in pending.request_ids]

    def _give_up(self, pending: PendingClaim) -> None:
        """Stop waiting; the claim may land later and then serves a retry."""
        self._pending.pop(pending.key.sequence, None)
        self._writer.drop(_hex_of(pending.key))


def _hex_of(key: RequestKey) -> str:
    return f'{key.sequence:032x}'


def _unknown(request_id: str, code: ResultCode, message: str) -> KeyRefused:
    return KeyRefused(request_id, code, Ran.UNKNOWN, message)
