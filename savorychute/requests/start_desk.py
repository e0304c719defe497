"""The issuer's side of starting a keyed request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.ran import Ran
from savorychute.requests.key_phase import KeyPhase
from savorychute.requests.pending_start import PendingStart
from savorychute.requests.start_denied import StartDenied
from savorychute.requests.start_notice import StartNotice
from savorychute.requests.start_permitted import StartPermitted
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView
    from savorychute.requests.key_issuer import KeyIssuer
    from savorychute.requests.key_outcome import KeyOutcome
    from savorychute.requests.key_record import KeyRecord
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.key_store import KeyStore
    from savorychute.requests.settle_queue import SettleQueue
    from savorychute.requests.start_answer import StartAnswer


class StartDesk:
    """Tells the witness of each start and waits for its answer.

    No byte may leave for an endpoint before the witness has accepted.  If it
    does not answer in time the key is settled as not run *here*, which is
    true whatever the witness noted, because only this incarnation runs it.

    :param settings: intervals.
    :param address: this instance.
    :param issuer: what issued the keys.
    :param store: the keys taken up here.
    :param settled: news for witnesses.
    """

    def __init__(
        self,
        settings: KeySettings,
        address: MemberAddress,
        issuer: KeyIssuer,
        store: KeyStore,
        settled: SettleQueue,
    ) -> None:
        self._settings = settings
        self._address = address
        self._issuer = issuer
        self._store = store
        self._settled = settled
        self._pending: dict[str, PendingStart] = {}

    def announce(
        self,
        record: KeyRecord,
        endpoint: str,
        stream_id: str,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Announce a start, or permit it if no witness needs to be asked.

        :param record: the key that the request runs under.
        :param endpoint: where it is about to go.
        :param stream_id: the stream that could be resumed there, or empty.
        :param view: the members.
        :param now_ms: the time.
        """
        if not record.key.issued or not record.key.witness:
            record.phase = KeyPhase.STARTED
            return [StartPermitted(record.runner)]
        if record.phase is KeyPhase.STARTED:
            return self._announce_again(record, endpoint, stream_id, view)
        if self._is_too_old(record, now_ms):
            return self._deny(
                record, ResultCode.KEY_TOO_OLD, 'the key is too old', now_ms
            )
        witness = self._find_witness(record, view)
        if witness is None:
            return self._deny(
                record, ResultCode.WITNESS_UNAVAILABLE, 'the witness is gone', now_ms
            )
        record.phase = KeyPhase.ANNOUNCED
        notice = self._notice(record, endpoint, stream_id)
        self._pending[record.runner] = PendingStart(
            record,
            notice,
            witness,
            now_ms + self._settings.notice_interval_ms,
            now_ms + self._settings.notice_timeout_ms,
        )
        return [_send(witness, notice)]

    def answered(
        self, sender: str, answer: StartAnswer, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Take a witness's answer.

        :param sender: who sent it.
        :param answer: the answer.
        :param now_ms: the time.
        """
        pending = self._find_pending(answer.key, sender)
        if pending is None:
            return []
        record = pending.record
        del self._pending[record.runner]
        if not answer.accepted:
            return self._deny(record, ResultCode.KEY_REVOKED, answer.reason, now_ms)
        if self._is_too_old(record, now_ms):
            # The witness may have revoked the key, told a caller 'not run' and
            # forgotten the revocation before this notice reached it; it does so
            # only after the key's lifetime.
            return self._deny(
                record, ResultCode.KEY_TOO_OLD, 'the key is too old', now_ms
            )
        record.phase = KeyPhase.STARTED
        return [StartPermitted(record.runner)]

    def drop(self, request_id: str) -> None:
        """Forget a notice whose request was settled otherwise.

        :param request_id: the request.
        """
        self._pending.pop(request_id, None)

    def tick(self, now_ms: int) -> list[KeyOutcome | Action]:
        """Repeat notices and give up those that took too long.

        :param now_ms: the time.
        """
        results: list[KeyOutcome | Action] = []
        for request_id, pending in list(self._pending.items()):
            if now_ms >= pending.give_up_ms:
                del self._pending[request_id]
                witness = pending.record.key.witness
                self._issuer.note_unanswered(witness, now_ms)
                results += self._deny(
                    pending.record,
                    ResultCode.WITNESS_UNAVAILABLE,
                    'the witness did not answer',
                    now_ms,
                )
            elif now_ms >= pending.next_ms:
                next_ms = now_ms + self._settings.notice_interval_ms
                self._pending[request_id] = pending._replace(next_ms=next_ms)
                results.append(_send(pending.witness, pending.notice))
        return results

    def next_due_ms(self) -> int | None:
        """Return when :meth:`tick` has something to do, or None."""
        return min(
            (min(p.next_ms, p.give_up_ms) for p in self._pending.values()),
            default=None,
        )

    def _announce_again(
        self, record: KeyRecord, endpoint: str, stream_id: str, view: MemberView
    ) -> list[KeyOutcome | Action]:
        """Permit a further attempt at once; the witness never revokes a start."""
        results: list[KeyOutcome | Action] = [StartPermitted(record.runner)]
        witness = self._find_witness(record, view)
        if witness is not None:
            results.append(_send(witness, self._notice(record, endpoint, stream_id)))
        return results

    def _deny(
        self, record: KeyRecord, code: ResultCode, message: str, now_ms: int
    ) -> list[KeyOutcome | Action]:
        if record.phase is KeyPhase.ANNOUNCED:
            self._settled.add(record.key, ran=False)
        waiting = self._store.settle(record, KeyPhase.NOT_RUN, code, now_ms)
        return [StartDenied(record.runner, code, Ran.NOT_RUN, message), *waiting]

    def _is_too_old(self, record: KeyRecord, now_ms: int) -> bool:
        return now_ms - record.key.issued_ms > self._settings.key_lifetime_ms

    def _find_witness(
        self, record: KeyRecord, view: MemberView
    ) -> MemberAddress | None:
        key = record.key
        current = view.address_of(key.witness)
        if current is not None:
            is_same = current.incarnation == key.witness_incarnation
            return current if is_same else None
        if key.witness in view.leaving:
            return self._issuer.recall_witness(key)
        return None

    def _find_pending(self, key_text: str, sender: str) -> PendingStart | None:
        for pending in self._pending.values():
            key = pending.record.key
            if key.text == key_text and key.witness == sender:
                return pending
        return None

    def _notice(self, record: KeyRecord, endpoint: str, stream_id: str) -> StartNotice:
        return StartNotice(
            record.key.text,
            record.fingerprint,
            endpoint,
            stream_id,
            self._address.host,
            self._address.peer_port,
        )


def _send(witness: MemberAddress, notice: StartNotice) -> SendPeer:
    return SendPeer(witness.instance, witness.host, witness.peer_port, notice)
