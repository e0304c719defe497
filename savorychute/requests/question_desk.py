"""Asks witnesses about keys of other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import ContinuationHandle
from savorychute.requests.key_elsewhere import KeyElsewhere
from savorychute.requests.key_question import KeyQuestion
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.pending_question import PendingQuestion
from savorychute.requests.witness_verdict import WitnessVerdict
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView
    from savorychute.requests.key_outcome import KeyOutcome
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.key_verdict import KeyVerdict
    from savorychute.requests.request_key import RequestKey
    from savorychute.requests.witness_book import WitnessBook


class QuestionDesk:
    """Answers requests whose key another incarnation issued, if that is gone.

    :param settings: intervals.
    :param address: this instance.
    :param book: this instance's own notes, in case it is the witness.
    """

    def __init__(
        self, settings: KeySettings, address: MemberAddress, book: WitnessBook
    ) -> None:
        self._settings = settings
        self._address = address
        self._book = book
        self._pending: dict[tuple[str, str], PendingQuestion] = {}

    def ask(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        view: MemberView,
        now_ms: int,
        issuer: MemberAddress | None = None,
    ) -> list[KeyOutcome | Action]:
        """Find out whether *key* was started, and revoke it if it was not.

        :param request_id: the request that waits.
        :param key: its key.
        :param fingerprint: of the request.
        :param view: the members.
        :param now_ms: the time.
        :param issuer: where the request is sent if the key was started, or
            None if that is in vain.
        """
        if key.witness == self._address.instance:
            verdict = self._book.answer(key, fingerprint, now_ms)
            return [_tell(request_id, verdict, issuer)]
        pending = self._pending.get((key.text, fingerprint))
        if pending is not None:
            return self._join(request_id, pending)
        witness = view.address_of(key.witness)
        if witness is None or witness.incarnation != key.witness_incarnation:
            return [_say_unknown(request_id, 'issuer and witness are gone', issuer)]
        if len(self._pending) >= self._settings.max_questions:
            return [_unknown(request_id, 'too many questions to witnesses')]
        return self._send_first(request_id, key, fingerprint, witness, issuer, now_ms)

    def answered(self, sender: str, verdict: KeyVerdict) -> list[KeyOutcome | Action]:
        """Take a witness's verdict.

        :param sender: who sent it.
        :param verdict: the verdict.
        """
        place = (verdict.key, verdict.fingerprint)
        pending = self._pending.get(place)
        if pending is None or pending.witness.instance != sender:
            return []
        del self._pending[place]
        return [
            _tell(request_id, verdict, pending.issuer)
            for request_id in pending.request_ids
        ]

    def leave(self, request_id: str) -> None:
        """Stop answering a request.

        :param request_id: a request whose caller left.
        """
        for place, pending in self._pending.items():
            if request_id in pending.request_ids:
                kept = tuple(r for r in pending.request_ids if r != request_id)
                self._pending[place] = pending._replace(request_ids=kept)
                return

    def tick(self, now_ms: int) -> list[KeyOutcome | Action]:
        """Repeat questions and give up those that took too long.

        :param now_ms: the time.
        """
        results: list[KeyOutcome | Action] = []
        for place, pending in list(self._pending.items()):
            if now_ms >= pending.give_up_ms:
                del self._pending[place]
                results += [
                    _say_unknown(
                        request_id, 'the witness did not answer', pending.issuer
                    )
                    for request_id in pending.request_ids
                ]
            elif now_ms >= pending.next_ms:
                next_ms = now_ms + self._settings.question_interval_ms
                self._pending[place] = pending._replace(next_ms=next_ms)
                results.append(_send(pending.witness, pending.question))
        return results

    def next_due_ms(self) -> int | None:
        """Return when :meth:`tick` has something to do, or None."""
        return min(
            (min(p.next_ms, p.give_up_ms) for p in self._pending.values()),
            default=None,
        )

    def _join(
        self, request_id: str, pending: PendingQuestion
    ) -> list[KeyOutcome | Action]:
        if len(pending.request_ids) >= self._settings.max_waiting_per_key:
            return [_unknown(request_id, 'too many requests wait for this key')]
        place = (pending.question.key, pending.question.fingerprint)
        request_ids = (*pending.request_ids, request_id)
        self._pending[place] = pending._replace(request_ids=request_ids)
        return []

    def _send_first(
        self,
        request_id: str,
        key: RequestKey,
        fingerprint: str,
        witness: MemberAddress,
        issuer: MemberAddress | None,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        question = KeyQuestion(
            key.text, fingerprint, self._address.host, self._address.peer_port
        )
        self._pending[key.text, fingerprint] = PendingQuestion(
            question,
            witness,
            issuer,
            (request_id,),
            now_ms + self._settings.question_interval_ms,
            now_ms + self._settings.question_timeout_ms,
        )
        return [_send(witness, question)]


def _send(witness: MemberAddress, question: KeyQuestion) -> SendPeer:
    return SendPeer(witness.instance, witness.host, witness.peer_port, question)


def _tell(
    request_id: str, verdict: KeyVerdict, issuer: MemberAddress | None
) -> KeyElsewhere | KeyRefused:
    """Turn a verdict into an answer; an issuer that may live knows better."""
    started = (WitnessVerdict.STARTED.value, WitnessVerdict.RAN.value)
    if issuer is not None and verdict.verdict in started:
        return KeyElsewhere(request_id, issuer)
    return _refuse(request_id, verdict)


def _say_unknown(
    request_id: str, message: str, issuer: MemberAddress | None
) -> KeyElsewhere | KeyRefused:
    if issuer is not None:
        return KeyElsewhere(request_id, issuer)
    return _unknown(request_id, message)


def _refuse(request_id: str, verdict: KeyVerdict) -> KeyRefused:
    handle = ''
    if verdict.stream_id:
        handle = ContinuationHandle(verdict.endpoint, verdict.stream_id, 0).encode()
    if verdict.verdict == WitnessVerdict.REVOKED.value:
        message = 'the key is revoked and did not run; send again with a new key'
        return KeyRefused(request_id, ResultCode.KEY_REVOKED, Ran.NOT_RUN, message)
    if verdict.verdict == WitnessVerdict.REUSED.value:
        message = 'the key stands for another request'
        return KeyRefused(request_id, ResultCode.KEY_REUSED, Ran.NOT_RUN, message)
    if verdict.verdict == WitnessVerdict.RAN.value:
        message = 'the key ran; the instance that kept its answer is gone'
        code = ResultCode.OUTCOME_FORGOTTEN
        return KeyRefused(request_id, code, Ran.RAN, message, handle)
    return _unknown(request_id, 'the issuer of the key is gone', handle)


def _unknown(request_id: str, message: str, handle: str = '') -> KeyRefused:
    code = ResultCode.OUTCOME_UNKNOWN
    return KeyRefused(request_id, code, Ran.UNKNOWN, message, handle)
