"""Ensures that each non-idempotent request runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import RequestError
from savorychute.membership.member_view import MemberView
from savorychute.ran import Ran
from savorychute.requests.claim_batch import CLAIMS_STREAM
from savorychute.requests.claim_handler import ClaimHandler
from savorychute.requests.key_issuer import KeyIssuer
from savorychute.requests.key_phase import KeyPhase
from savorychute.requests.key_question import KeyQuestion
from savorychute.requests.key_redirect import KeyRedirect
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_store import KeyStore
from savorychute.requests.key_verdict import KeyVerdict
from savorychute.requests.keys_settled import KeysSettled
from savorychute.requests.question_handler import QuestionHandler
from savorychute.requests.redirect_memory import RedirectMemory
from savorychute.requests.request_key import parse_key
from savorychute.requests.settled_key_queue import SettledKeyQueue
from savorychute.requests.start_answer import StartAnswer
from savorychute.requests.start_denied import StartDenied
from savorychute.requests.start_handler import StartHandler
from savorychute.requests.start_notice import StartNotice
from savorychute.requests.stored_outcome import StoredOutcome
from savorychute.requests.witness_handler import WitnessHandler
from savorychute.requests.witness_table import WitnessTable
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.inputs.records_read import RecordsRead
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_outcome import KeyOutcome
    from savorychute.requests.key_record import KeyRecord
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey

NO_DEADLINE_MS = 2**62
"""Returned as the next due time when nothing is due; later than any real time."""


class KeyManager:
    """Decides for each request with a key whether it may run at this instance.

    Only the incarnation that issued a key, or that made the first claim of the
    key in the log, runs a request under it.  See ``docs/design/at-most-once``.

    :param settings: limits and intervals.
    :param address: the address of this instance.
    :param rng: the source of the issuer's secret; a host with untrusted callers
        passes ``random.SystemRandom()``.
    """

    def __init__(
        self, settings: KeySettings, address: MemberAddress, rng: random.Random
    ) -> None:
        self._settings = settings
        self._address = address
        self.issuer = KeyIssuer(address, rng)
        self._store = KeyStore(settings)
        self._witness_table = WitnessTable(settings, address)
        self._witness_handler = WitnessHandler(self._witness_table)
        self._settled_keys = SettledKeyQueue(settings)
        self._start_handler = StartHandler(
            settings, address, self.issuer, self._store, self._settled_keys
        )
        self._question_handler = QuestionHandler(settings, address, self._witness_table)
        self._redirects = RedirectMemory(settings)
        self._claim_handler = ClaimHandler(settings, address, self._redirects)
        self._wall_offset_ms = 0
        self._view = MemberView(address, (address,))

    def set_wall_clock(self, wall_ms: int, now_ms: int) -> None:
        """Set the wall-clock time, which caller-supplied keys require.

        :param wall_ms: the Unix time.
        :param now_ms: the monotonic time at the same moment.
        """
        self._wall_offset_ms = wall_ms - now_ms

    def admit(
        self,
        request_id: str,
        key_text: str,
        fingerprint: str,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Decide whether a request may run under its key.

        Call this before any other check that may refuse the request: the key may
        have run at another instance, and a refusal as ``NOT_RUN`` would be wrong.

        :param request_id: the id of the request.
        :param key_text: its key, as the caller sent it.
        :param fingerprint: the hash of organisation and body; a key is valid for
            one request only.
        :param view: the current members.
        :param now_ms: the current time.
        :return: the outcome; empty while a response of a witness or the log is
            pending.
        """
        self._view = view
        try:
            key = parse_key(key_text)
        except RequestError as error:
            return [KeyRefused(request_id, error.code, Ran.NOT_RUN, error.message)]
        if not key.issued:
            return self._claim_handler.admit(
                request_id, key, fingerprint, view, self._wall_ms(now_ms), now_ms
            )
        if self._is_own_key(key):
            return list(self._admit_own(request_id, key, fingerprint, now_ms))
        return self._admit_foreign(request_id, key, fingerprint, view, now_ms)

    def announce_start(
        self,
        request_id: str,
        endpoint: str,
        stream_id: str,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Request permission to send a request to an endpoint.

        :param request_id: a request whose outcome was :class:`KeyGranted`.
        :param endpoint: the endpoint to which it will be sent.
        :param stream_id: the stream that can be resumed there, or empty.
        :param view: the current members.
        :param now_ms: the current time.
        """
        record = self._find_runner(request_id)
        if record is None:
            message = 'the request holds no key'
            code = ResultCode.KEY_REQUIRED
            return [StartDenied(request_id, code, Ran.NOT_RUN, message)]
        return self._start_handler.announce(record, endpoint, stream_id, view, now_ms)

    def finish(
        self,
        request_id: str,
        status: int,
        content_type: str,
        body: bytes | None,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Settle a key with the complete response to its request.

        :param request_id: the id of the request.
        :param status: the HTTP status of the response.
        :param content_type: the media type of the response.
        :param body: the complete body, or None if it was not retained; a partial
            body is not allowed, because it would be replayed as a complete one.
        :param now_ms: the current time.
        """
        outcome = None
        if body is not None:
            outcome = StoredOutcome(status, content_type, body)
        return self._settle(request_id, KeyPhase.RAN, ResultCode.OK, now_ms, outcome)

    def settle_not_run(
        self,
        request_id: str,
        now_ms: int,
        code: ResultCode = ResultCode.KEY_REVOKED,
    ) -> list[KeyOutcome | Action]:
        """Settle a key whose request did not run and never will.

        :param request_id: the id of the request.
        :param now_ms: the current time.
        :param code: the result code that the caller of the request receives.
        """
        return self._settle(request_id, KeyPhase.NOT_RUN, code, now_ms)

    def settle_unknown(self, request_id: str, now_ms: int) -> list[KeyOutcome | Action]:
        """Settle a key whose request may have run.

        :param request_id: the id of the request.
        :param now_ms: the current time.
        """
        code = ResultCode.OUTCOME_UNKNOWN
        return self._settle(request_id, KeyPhase.UNKNOWN, code, now_ms)

    def remove_waiter(self, request_id: str) -> None:
        """Remove a request that waits for an outcome; a running request continues.

        :param request_id: a request whose caller has disconnected.
        """
        self._store.remove_waiter(request_id)
        self._question_handler.remove_waiter(request_id)
        self._claim_handler.remove_waiter(request_id)

    def receive(
        self,
        sender: str,
        message: object,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Handle a message from another instance.

        :param sender: the other instance.
        :param message: a peer message of this package.
        :param view: the current members.
        :param now_ms: the current time.
        """
        self._view = view
        if isinstance(message, StartNotice):
            return list(
                self._witness_handler.handle_start_notice(sender, message, now_ms)
            )
        if isinstance(message, StartAnswer):
            return self._start_handler.handle_response(sender, message, now_ms)
        if isinstance(message, KeyQuestion):
            return list(self._witness_handler.handle_question(sender, message, now_ms))
        if isinstance(message, KeyVerdict):
            return self._question_handler.handle_verdict(sender, message)
        if isinstance(message, KeysSettled):
            self._witness_handler.handle_settled(sender, message, now_ms)
        return []

    def append_finished(
        self, finished: AppendFinished, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Handle the result of an append to the claims stream.

        :param finished: the result; results of other streams are ignored.
        :param now_ms: the current time.
        """
        if finished.stream != CLAIMS_STREAM:
            return []
        return self._claim_handler.append_finished(finished, now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[KeyOutcome | Action]:
        """Handle records of the claims stream.

        :param read: the result of a read; results of other streams are ignored.
        :param now_ms: the current time.
        """
        if read.stream != CLAIMS_STREAM:
            return []
        wall_ms = self._wall_ms(now_ms)
        return self._claim_handler.records_read(read, self._view, wall_ms, now_ms)

    def tick(self, view: MemberView, now_ms: int) -> list[KeyOutcome | Action]:
        """Resend unanswered messages, settle timed-out ones, remove expired records.

        :param view: the current members.
        :param now_ms: the current time.
        """
        self._view = view
        results = self._start_handler.tick(now_ms)
        results += self._question_handler.tick(now_ms)
        results += self._settled_keys.tick(view, now_ms)
        results += self._claim_handler.tick(view, self._wall_ms(now_ms), now_ms)
        self._witness_table.expire(now_ms)
        self._store.remove_expired(now_ms - self._settings.key_lifetime_ms, now_ms)
        return results

    def next_due_ms(self) -> int:
        """Return when :meth:`tick` is due next."""
        due_times_ms = [
            self._claim_handler.next_due_ms(),
            self._start_handler.next_due_ms(),
            self._question_handler.next_due_ms(),
        ]
        return min(
            (due for due in due_times_ms if due is not None), default=NO_DEADLINE_MS
        )

    def _admit_own(
        self, request_id: str, key: RequestKey, fingerprint: str, now_ms: int
    ) -> list[KeyOutcome]:
        if not self.issuer.is_own(key):
            message = f'request key {key.text!r} was not issued here'
            code = ResultCode.KEY_MALFORMED
            return [KeyRefused(request_id, code, Ran.UNKNOWN, message)]
        record = self._store.find(key.sequence)
        if record is not None:
            return self._store.join(request_id, record, fingerprint)
        if now_ms - key.issued_ms > self._settings.key_lifetime_ms:
            message = f'request key {key.text!r} is older than what is remembered'
            code = ResultCode.KEY_TOO_OLD
            return [KeyRefused(request_id, code, Ran.UNKNOWN, message)]
        return self._store.grant(request_id, key, fingerprint)

    def _admit_foreign(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Redirect the caller to the issuer, or query the witness.

        A caller that retries here could not reach the issuer, whatever the
        member view says; then the witness is queried, which is safe even while
        the issuer is alive.  The witness is also queried if the issuer is
        suspected, because a caller redirected to a paused instance would hang.
        The caller is redirected to a suspected issuer only if the key was
        started, because only the issuer has the response.
        """
        issuer = view.address_of(key.instance)
        if issuer is not None and issuer.incarnation > key.incarnation:
            issuer = None
        if key.instance == self._address.instance:
            issuer = None
        if issuer is not None and self._redirects.is_retry(key.text, now_ms):
            issuer = None
        if issuer is not None and key.instance not in view.suspects:
            return [KeyRedirect(request_id, issuer)]
        return self._question_handler.ask(
            request_id, key, fingerprint, view, now_ms, issuer
        )

    def _wall_ms(self, now_ms: int) -> int:
        return now_ms + self._wall_offset_ms

    def _find_runner(self, request_id: str) -> KeyRecord | None:
        record = self._store.find_runner(request_id)
        if record is None:
            record = self._claim_handler.store.find_runner(request_id)
        return record

    def _is_own_key(self, key: RequestKey) -> bool:
        own = (self._address.instance, self._address.incarnation)
        return own == (key.instance, key.incarnation)

    def _settle(
        self,
        request_id: str,
        phase: KeyPhase,
        code: ResultCode,
        now_ms: int,
        outcome: StoredOutcome | None = None,
    ) -> list[KeyOutcome | Action]:
        record = self._find_runner(request_id)
        if record is None:
            return []
        if not record.key.issued:
            if phase is KeyPhase.NOT_RUN:
                self._claim_handler.release(record.key)
            return list(
                self._claim_handler.store.settle(record, phase, code, now_ms, outcome)
            )
        was_announced = record.phase is not KeyPhase.HELD
        if was_announced and phase is not KeyPhase.UNKNOWN:
            self._settled_keys.add(record.key, ran=phase is KeyPhase.RAN)
        self._start_handler.cancel(request_id)
        return list(self._store.settle(record, phase, code, now_ms, outcome))
