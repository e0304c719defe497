"""Queries witnesses about keys that other incarnations issued."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import ContinuationHandle
from savorychute.requests.key_question import KeyQuestion
from savorychute.requests.key_redirect import KeyRedirect
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
    from savorychute.requests.witness_table import WitnessTable


class QuestionHandler:
    """Decides requests whose key was issued by an incarnation that is unavailable.

    :param settings: limits and intervals.
    :param address: the address of this instance.
    :param witness_table: the records of this instance, in case it is the witness.
    """

    def __init__(
        self, settings: KeySettings, address: MemberAddress, witness_table: WitnessTable
    ) -> None:
        self._settings = settings
        self._address = address
        self._witness_table = witness_table
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

        :param request_id: the id of the waiting request.
        :param key: its key.
        :param fingerprint: the fingerprint of the request.
        :param view: the current members.
        :param now_ms: the current time.
        :param issuer: the instance to which the request is redirected if the key
            was started, or None if the issuer is unavailable.
        """
        if key.witness == self._address.instance:
            verdict = self._witness_table.decide(key, fingerprint, now_ms)
            return [_make_outcome(request_id, verdict, issuer)]
        pending = self._pending.get((key.text, fingerprint))
        if pending is not None:
            return self._join(request_id, pending)
        witness = view.address_of(key.witness)
        if witness is None or witness.incarnation != key.witness_incarnation:
            return [
                _redirect_or_unknown(request_id, 'issuer and witness are gone', issuer)
            ]
        if len(self._pending) >= self._settings.max_questions:
            return [_unknown(request_id, 'too many questions to witnesses')]
        return self._send_question(
            request_id, key, fingerprint, witness, issuer, now_ms
        )

    def handle_verdict(
        self, sender: str, verdict: KeyVerdict
    ) -> list[KeyOutcome | Action]:
        """Handle the verdict of a witness.

        :param sender: the instance that sent the verdict.
        :param verdict: the verdict.
        """
        pending_key = (verdict.key, verdict.fingerprint)
        pending = self._pending.get(pending_key)
        if pending is None or pending.witness.instance != sender:
            return []
        del self._pending[pending_key]
        return [
            _make_outcome(request_id, verdict, pending.issuer)
            for request_id in pending.request_ids
        ]

    def remove_waiter(self, request_id: str) -> None:
        """Remove a request that waits for a verdict.

        :param request_id: a request whose caller has disconnected.
        """
        for pending_key, pending in self._pending.items():
            if request_id in pending.request_ids:
                remaining = tuple(r for r in pending.request_ids if r != request_id)
                self._pending[pending_key] = pending._replace(request_ids=remaining)
                return

    def tick(self, now_ms: int) -> list[KeyOutcome | Action]:
        """Resend unanswered queries and settle those that timed out.

        :param now_ms: the current time.
        """
        results: list[KeyOutcome | Action] = []
        for pending_key, pending in list(self._pending.items()):
            if now_ms >= pending.deadline_ms:
                del self._pending[pending_key]
                results += [
                    _redirect_or_unknown(
                        request_id, 'the witness did not answer', pending.issuer
                    )
                    for request_id in pending.request_ids
                ]
            elif now_ms >= pending.next_send_ms:
                next_send_ms = now_ms + self._settings.question_interval_ms
                self._pending[pending_key] = pending._replace(next_send_ms=next_send_ms)
                results.append(_make_send(pending.witness, pending.question))
        return results

    def next_due_ms(self) -> int | None:
        """Return when :meth:`tick` is due next, or None."""
        return min(
            (min(p.next_send_ms, p.deadline_ms) for p in self._pending.values()),
            default=None,
        )

    def _join(
        self, request_id: str, pending: PendingQuestion
    ) -> list[KeyOutcome | Action]:
        if len(pending.request_ids) >= self._settings.max_waiting_per_key:
            return [_unknown(request_id, 'too many requests wait for this key')]
        pending_key = (pending.question.key, pending.question.fingerprint)
        request_ids = (*pending.request_ids, request_id)
        self._pending[pending_key] = pending._replace(request_ids=request_ids)
        return []

    def _send_question(
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
        return [_make_send(witness, question)]


def _make_send(witness: MemberAddress, question: KeyQuestion) -> SendPeer:
    return SendPeer(witness.instance, witness.host, witness.peer_port, question)


def _make_outcome(
    request_id: str, verdict: KeyVerdict, issuer: MemberAddress | None
) -> KeyRedirect | KeyRefused:
    """Convert a verdict into an outcome.

    If the key was started and the issuer may be alive, the request is redirected to
    the issuer, which has the response.
    """
    started = (WitnessVerdict.STARTED.value, WitnessVerdict.RAN.value)
    if issuer is not None and verdict.verdict in started:
        return KeyRedirect(request_id, issuer)
    return _refuse(request_id, verdict)


def _redirect_or_unknown(
    request_id: str, message: str, issuer: MemberAddress | None
) -> KeyRedirect | KeyRefused:
    if issuer is not None:
        return KeyRedirect(request_id, issuer)
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
