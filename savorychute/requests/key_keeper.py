"""Runs each non-idempotent request at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import RequestError
from savorychute.membership.member_view import MemberView
from savorychute.ran import Ran
from savorychute.requests.claim_batch import CLAIMS_STREAM
from savorychute.requests.claim_desk import ClaimDesk
from savorychute.requests.key_elsewhere import KeyElsewhere
from savorychute.requests.key_issuer import KeyIssuer
from savorychute.requests.key_phase import KeyPhase
from savorychute.requests.key_question import KeyQuestion
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_store import KeyStore
from savorychute.requests.key_verdict import KeyVerdict
from savorychute.requests.keys_settled import KeysSettled
from savorychute.requests.question_desk import QuestionDesk
from savorychute.requests.redirect_memory import RedirectMemory
from savorychute.requests.request_key import parse_key
from savorychute.requests.settle_queue import SettleQueue
from savorychute.requests.start_answer import StartAnswer
from savorychute.requests.start_denied import StartDenied
from savorychute.requests.start_desk import StartDesk
from savorychute.requests.start_notice import StartNotice
from savorychute.requests.stored_outcome import StoredOutcome
from savorychute.requests.witness_book import WitnessBook
from savorychute.requests.witness_desk import WitnessDesk
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

NEVER_MS = 2**62
"""Later than any time."""


class KeyKeeper:
    """Decides, for each request that carries a key, whether it may run here.

    Only the incarnation that issued a key, or whose claim of it is the first
    in the log, ever runs a request under it.  See ``docs/design/at-most-once``.

    :param settings: bounds.
    :param address: this instance.
    :param rng: source of the issuer's secret; a host that faces strangers
        passes ``random.SystemRandom()``.
    """

    def __init__(
        self, settings: KeySettings, address: MemberAddress, rng: random.Random
    ) -> None:
        self._settings = settings
        self._address = address
        self.issuer = KeyIssuer(address, rng)
        self._store = KeyStore(settings)
        self._book = WitnessBook(settings, address)
        self._witness = WitnessDesk(self._book)
        self._settled = SettleQueue(settings)
        self._starts = StartDesk(
            settings, address, self.issuer, self._store, self._settled
        )
        self._questions = QuestionDesk(settings, address, self._book)
        self._redirects = RedirectMemory(settings)
        self._claims = ClaimDesk(settings, address, self._redirects)
        self._wall_offset_ms = 0
        self._view = MemberView(address, (address,))

    def set_wall_clock(self, wall_ms: int, now_ms: int) -> None:
        """Say what the wall clock shows; needed for keys that callers bring.

        :param wall_ms: Unix time.
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

        Ask before anything else refuses the request: a refusal that says 'not
        run' about a key that ran elsewhere would be false.

        :param request_id: the request.
        :param key_text: its key, as the caller sent it.
        :param fingerprint: of organisation and body; a key stands for one request.
        :param view: the members.
        :param now_ms: the time.
        :return: the outcome, or none while a witness or the log is asked.
        """
        self._view = view
        try:
            key = parse_key(key_text)
        except RequestError as error:
            return [KeyRefused(request_id, error.code, Ran.NOT_RUN, error.message)]
        if not key.issued:
            return self._claims.admit(
                request_id, key, fingerprint, view, self._wall_ms(now_ms), now_ms
            )
        if self._is_own(key):
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
        """Ask for permission to send a request to an endpoint.

        :param request_id: a request that was told :class:`KeyMayRun`.
        :param endpoint: where it is about to go.
        :param stream_id: the stream that can be resumed there, or empty.
        :param view: the members.
        :param now_ms: the time.
        """
        record = self._find_runner(request_id)
        if record is None:
            message = 'the request holds no key'
            code = ResultCode.KEY_REQUIRED
            return [StartDenied(request_id, code, Ran.NOT_RUN, message)]
        return self._starts.announce(record, endpoint, stream_id, view, now_ms)

    def finish(
        self,
        request_id: str,
        status: int,
        content_type: str,
        body: bytes | None,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Settle a key with the whole answer of its request.

        :param request_id: the request.
        :param status: the answer's HTTP status.
        :param content_type: the answer's media type.
        :param body: the whole body, or None if it was not kept; a part of it
            must not be given, because it would be replayed as the whole.
        :param now_ms: the time.
        """
        outcome = None
        if body is not None:
            outcome = StoredOutcome(status, content_type, body)
        return self._settle(request_id, KeyPhase.RAN, ResultCode.OK, now_ms, outcome)

    def not_run(
        self,
        request_id: str,
        now_ms: int,
        code: ResultCode = ResultCode.KEY_REVOKED,
    ) -> list[KeyOutcome | Action]:
        """Settle a key whose request certainly did not run; nothing will.

        :param request_id: the request.
        :param now_ms: the time.
        :param code: what the request's own caller is told.
        """
        return self._settle(request_id, KeyPhase.NOT_RUN, code, now_ms)

    def unknown(self, request_id: str, now_ms: int) -> list[KeyOutcome | Action]:
        """Settle a key whose request may have run.

        :param request_id: the request.
        :param now_ms: the time.
        """
        code = ResultCode.OUTCOME_UNKNOWN
        return self._settle(request_id, KeyPhase.UNKNOWN, code, now_ms)

    def leave(self, request_id: str) -> None:
        """Stop answering a request that waits; a run goes on.

        :param request_id: a request whose caller left.
        """
        self._store.leave(request_id)
        self._questions.leave(request_id)
        self._claims.leave(request_id)

    def receive(
        self,
        sender: str,
        message: object,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Take a message from another instance.

        :param sender: the other instance.
        :param message: one of this package's peer messages.
        :param view: the members.
        :param now_ms: the time.
        """
        self._view = view
        if isinstance(message, StartNotice):
            return list(self._witness.note_start(sender, message, now_ms))
        if isinstance(message, StartAnswer):
            return self._starts.answered(sender, message, now_ms)
        if isinstance(message, KeyQuestion):
            return list(self._witness.answer_question(sender, message, now_ms))
        if isinstance(message, KeyVerdict):
            return self._questions.answered(sender, message)
        if isinstance(message, KeysSettled):
            self._witness.note_settled(sender, message, now_ms)
        return []

    def append_finished(
        self, finished: AppendFinished, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Take the outcome of an append to the stream of claims.

        :param finished: the outcome; those of other streams are ignored.
        :param now_ms: the time.
        """
        if finished.stream != CLAIMS_STREAM:
            return []
        return self._claims.append_finished(finished, now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[KeyOutcome | Action]:
        """Take records of the stream of claims.

        :param read: the records; those of other streams are ignored.
        :param now_ms: the time.
        """
        if read.stream != CLAIMS_STREAM:
            return []
        wall_ms = self._wall_ms(now_ms)
        return self._claims.records_read(read, self._view, wall_ms, now_ms)

    def tick(self, view: MemberView, now_ms: int) -> list[KeyOutcome | Action]:
        """Repeat what got no answer, give up what took too long, forget.

        :param view: the members.
        :param now_ms: the time.
        """
        self._view = view
        results = self._starts.tick(now_ms)
        results += self._questions.tick(now_ms)
        results += self._settled.tick(view, now_ms)
        results += self._claims.tick(view, self._wall_ms(now_ms), now_ms)
        self._book.expire(now_ms)
        self._store.forget_old(now_ms - self._settings.key_lifetime_ms, now_ms)
        return results

    def next_due_ms(self) -> int:
        """Return the time at which :meth:`tick` has something to do."""
        dues = [
            self._claims.next_due_ms(),
            self._starts.next_due_ms(),
            self._questions.next_due_ms(),
        ]
        return min((due for due in dues if due is not None), default=NEVER_MS)

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
        return self._store.take_up(request_id, key, fingerprint)

    def _admit_foreign(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Send the caller to the issuer, or ask the witness.

        A caller that comes back could not reach the issuer, whatever the
        member view says; the witness is asked then, which is safe even while
        the issuer lives.  It is asked, too, if the issuer is suspected: a
        caller sent to a paused instance would hang there.  Only if the key was
        started is the caller sent to a suspect, which alone has the answer.
        """
        issuer = view.address_of(key.instance)
        if issuer is not None and issuer.incarnation > key.incarnation:
            issuer = None
        if key.instance == self._address.instance:
            issuer = None
        if issuer is not None and self._redirects.is_repeated(key.text, now_ms):
            issuer = None
        if issuer is not None and key.instance not in view.suspects:
            return [KeyElsewhere(request_id, issuer)]
        return self._questions.ask(request_id, key, fingerprint, view, now_ms, issuer)

    def _wall_ms(self, now_ms: int) -> int:
        return now_ms + self._wall_offset_ms

    def _find_runner(self, request_id: str) -> KeyRecord | None:
        record = self._store.find_runner(request_id)
        if record is None:
            record = self._claims.store.find_runner(request_id)
        return record

    def _is_own(self, key: RequestKey) -> bool:
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
                self._claims.release(record.key)
            return list(self._claims.store.settle(record, phase, code, now_ms, outcome))
        was_announced = record.phase is not KeyPhase.HELD
        if was_announced and phase is not KeyPhase.UNKNOWN:
            self._settled.add(record.key, ran=phase is KeyPhase.RAN)
        self._starts.drop(request_id)
        return list(self._store.settle(record, phase, code, now_ms, outcome))
