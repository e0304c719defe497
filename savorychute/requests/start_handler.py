"""Announces starts of keyed requests to their witnesses."""

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
    from savorychute.requests.settled_key_queue import SettledKeyQueue
    from savorychute.requests.start_answer import StartAnswer


class StartHandler:
    """Announces each start to the witness of the key and waits for its response.

    No byte may be sent to an endpoint before the witness has accepted the start.
    If the witness does not respond in time, the key is settled as not run.  This is
    correct whatever the witness recorded, because only this incarnation runs the
    key.

    :param settings: limits and intervals.
    :param address: the address of this instance.
    :param issuer: the issuer of the keys.
    :param store: the keys that this incarnation decides.
    :param settled_keys: the queue of settled keys to report to witnesses.
    """

    def __init__(
        self,
        settings: KeySettings,
        address: MemberAddress,
        issuer: KeyIssuer,
        store: KeyStore,
        settled_keys: SettledKeyQueue,
    ) -> None:
        self._settings = settings
        self._address = address
        self._issuer = issuer
        self._store = store
        self._settled_keys = settled_keys
        self._pending: dict[str, PendingStart] = {}

    def announce(
        self,
        record: KeyRecord,
        endpoint: str,
        stream_id: str,
        view: MemberView,
        now_ms: int,
    ) -> list[KeyOutcome | Action]:
        """Announce a start, or permit it if no response of a witness is required.

        :param record: the record of the key.
        :param endpoint: the endpoint to which the request will be sent.
        :param stream_id: the stream that can be resumed there, or empty.
        :param view: the current members.
        :param now_ms: the current time.
        """
        if not record.key.issued or not record.key.witness:
            record.phase = KeyPhase.STARTED
            return [StartPermitted(record.runner)]
        if record.phase is KeyPhase.STARTED:
            return self._announce_further_attempt(record, endpoint, stream_id, view)
        if self._is_too_old(record, now_ms):
            return self._deny(
                record, ResultCode.KEY_TOO_OLD, 'the key is too old', now_ms
            )
        witness = self._find_witness(record, view)
        if witness is None:
            return self._deny(
                record,
                ResultCode.WITNESS_UNAVAILABLE,
                'the witness is gone',
                now_ms,
            )
        record.phase = KeyPhase.ANNOUNCED
        notice = self._make_notice(record, endpoint, stream_id)
        self._pending[record.runner] = PendingStart(
            record,
            notice,
            witness,
            now_ms + self._settings.notice_interval_ms,
            now_ms + self._settings.notice_timeout_ms,
        )
        return [_make_send(witness, notice)]

    def handle_response(
        self, sender: str, response: StartAnswer, now_ms: int
    ) -> list[KeyOutcome | Action]:
        """Handle the response of a witness.

        :param sender: the instance that sent the response.
        :param response: the response.
        :param now_ms: the current time.
        """
        pending = self._find_pending(response.key, sender)
        if pending is None:
            return []
        record = pending.record
        del self._pending[record.runner]
        if not response.accepted:
            return self._deny(record, ResultCode.KEY_REVOKED, response.reason, now_ms)
        if self._is_too_old(record, now_ms):
            # Before this notice arrived, the witness may have revoked the key,
            # reported 'not run' to a caller and forgotten the revocation; it
            # forgets a revocation only after the lifetime of the key.
            return self._deny(
                record, ResultCode.KEY_TOO_OLD, 'the key is too old', now_ms
            )
        record.phase = KeyPhase.STARTED
        return [StartPermitted(record.runner)]

    def cancel(self, request_id: str) -> None:
        """Discard a pending notice whose request was settled in another way.

        :param request_id: the id of the request.
        """
        self._pending.pop(request_id, None)

    def tick(self, now_ms: int) -> list[KeyOutcome | Action]:
        """Resend unanswered notices and deny the starts that timed out.

        :param now_ms: the current time.
        """
        results: list[KeyOutcome | Action] = []
        for request_id, pending in list(self._pending.items()):
            if now_ms >= pending.deadline_ms:
                del self._pending[request_id]
                witness = pending.record.key.witness
                self._issuer.record_unresponsive(witness, now_ms)
                results += self._deny(
                    pending.record,
                    ResultCode.WITNESS_UNAVAILABLE,
                    'the witness did not answer',
                    now_ms,
                )
            elif now_ms >= pending.next_send_ms:
                next_send_ms = now_ms + self._settings.notice_interval_ms
                self._pending[request_id] = pending._replace(next_send_ms=next_send_ms)
                results.append(_make_send(pending.witness, pending.notice))
        return results

    def next_due_ms(self) -> int | None:
        """Return when :meth:`tick` is due next, or None."""
        return min(
            (min(p.next_send_ms, p.deadline_ms) for p in self._pending.values()),
            default=None,
        )

    def _announce_further_attempt(
        self, record: KeyRecord, endpoint: str, stream_id: str, view: MemberView
    ) -> list[KeyOutcome | Action]:
        """Permit a further attempt at once, because a witness never revokes a start."""
        results: list[KeyOutcome | Action] = [StartPermitted(record.runner)]
        witness = self._find_witness(record, view)
        if witness is not None:
            results.append(
                _make_send(witness, self._make_notice(record, endpoint, stream_id))
            )
        return results

    def _deny(
        self, record: KeyRecord, code: ResultCode, message: str, now_ms: int
    ) -> list[KeyOutcome | Action]:
        if record.phase is KeyPhase.ANNOUNCED:
            self._settled_keys.add(record.key, ran=False)
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
            return self._issuer.find_recent_witness(key)
        return None

    def _find_pending(self, key_text: str, sender: str) -> PendingStart | None:
        for pending in self._pending.values():
            key = pending.record.key
            if key.text == key_text and key.witness == sender:
                return pending
        return None

    def _make_notice(
        self, record: KeyRecord, endpoint: str, stream_id: str
    ) -> StartNotice:
        return StartNotice(
            record.key.text,
            record.fingerprint,
            endpoint,
            stream_id,
            self._address.host,
            self._address.peer_port,
        )


def _make_send(witness: MemberAddress, notice: StartNotice) -> SendPeer:
    return SendPeer(witness.instance, witness.host, witness.peer_port, notice)
