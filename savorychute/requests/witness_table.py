"""The records of a witness about issued keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.key_verdict import KeyVerdict
from savorychute.requests.start_answer import StartAnswer
from savorychute.requests.witness_record import WitnessRecord
from savorychute.requests.witness_verdict import WitnessVerdict

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey
    from savorychute.requests.start_notice import StartNotice

MAX_ISSUERS = 4_096


class WitnessTable:
    """Decides between started and revoked for the keys whose witness it is.

    The first message about a key, a start notice or a query, decides it
    permanently.  The table belongs to one incarnation: a key that names an earlier
    incarnation is never recorded, because that one may have revoked it.

    A revocation is retained until its key has expired at the issuer even with clocks
    of different rates; the issuer then refuses a late acceptance itself.  When a
    start is forgotten, all keys of that issuer up to its sequence number are treated
    as *possibly started*, so that a query never revokes them.

    :param settings: limits.
    :param address: the address of this instance.
    """

    def __init__(self, settings: KeySettings, address: MemberAddress) -> None:
        self._settings = settings
        self._address = address
        self._records: dict[str, WitnessRecord] = {}
        self._forgotten: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record_start(
        self, key: RequestKey, notice: StartNotice, now_ms: int
    ) -> StartAnswer:
        """Record a start unless the key is revoked, and return the response.

        :param key: the parsed key of the notice.
        :param notice: the notice.
        :param now_ms: the current time.
        """
        if not self._is_named_by(key):
            return StartAnswer(key.text, False, 'another incarnation is the witness')
        record = self._records.get(key.text)
        if record is not None and record.revoked:
            return StartAnswer(key.text, False, 'a caller asked and it was revoked')
        if record is not None and record.ran:
            return StartAnswer(key.text, True, '')
        if record is None and not self._ensure_capacity():
            return StartAnswer(key.text, False, 'the witness holds too many keys')
        self._records.pop(key.text, None)
        self._records[key.text] = WitnessRecord(
            False,
            now_ms,
            key.instance,
            key.incarnation,
            key.sequence,
            notice.fingerprint,
            notice.endpoint,
            notice.stream_id,
        )
        return StartAnswer(key.text, True, '')

    def decide(self, key: RequestKey, fingerprint: str, now_ms: int) -> KeyVerdict:
        """Return whether *key* was started; if it was not, revoke it.

        :param key: the key.
        :param fingerprint: the fingerprint of the request that the query is about.
        :param now_ms: the current time.
        """
        record = self._records.get(key.text)
        if record is not None:
            return _make_verdict(key, record, fingerprint)
        verdict = WitnessVerdict.FORGOTTEN
        if self._can_revoke(key):
            self._revoke(key, now_ms)
            verdict = WitnessVerdict.REVOKED
        return KeyVerdict(key.text, fingerprint, verdict.value, '', '')

    def record_settled(self, key: RequestKey, ran: bool, now_ms: int) -> None:
        """Record the outcome of a key that its issuer reported.

        :param key: the key.
        :param ran: true if its request completed; false if it did not run and the
            issuer will not run it.
        :param now_ms: the current time.
        """
        if not self._is_named_by(key):
            return
        record = self._records.get(key.text)
        if not ran and (record is not None or self._ensure_capacity()):
            self._revoke(key, now_ms)
        elif ran and record is not None and not record.revoked:
            self._records[key.text] = record._replace(ran=True)

    def expire(self, now_ms: int) -> None:
        """Forget records whose keys have expired, allowing for the witness margin.

        :param now_ms: the current time.
        """
        max_age_ms = self._settings.key_lifetime_ms + self._settings.witness_margin_ms
        expired = []
        for text, record in self._records.items():
            if now_ms - record.recorded_ms <= max_age_ms:
                break
            expired.append(text)
        for text in expired:
            self._forget(text)

    def _is_named_by(self, key: RequestKey) -> bool:
        own = (self._address.instance, self._address.incarnation)
        return own == (key.witness, key.witness_incarnation)

    def _can_revoke(self, key: RequestKey) -> bool:
        if not self._is_named_by(key) or self._is_possibly_forgotten(key):
            return False
        return self._ensure_capacity()

    def _is_possibly_forgotten(self, key: RequestKey) -> bool:
        forgotten = self._forgotten.get(key.instance)
        if forgotten is None:
            # With this mapping full, a start of any issuer may have been forgotten.
            return len(self._forgotten) >= MAX_ISSUERS
        return (key.incarnation, key.sequence) <= forgotten

    def _revoke(self, key: RequestKey, now_ms: int) -> None:
        # Removed first, so that the new record goes to the end and the records stay
        # ordered by time.
        self._records.pop(key.text, None)
        self._records[key.text] = WitnessRecord(
            True, now_ms, key.instance, key.incarnation, key.sequence, ''
        )

    def _ensure_capacity(self) -> bool:
        """Forget the oldest record if the table is full; return whether one fits.

        A revocation must not be forgotten early: a start notice in flight would then
        be accepted although 'not run' was reported to a caller.
        """
        if len(self._records) < self._settings.max_notes:
            return True
        oldest = next(iter(self._records))
        if self._records[oldest].revoked:
            return False
        self._forget(oldest)
        return True

    def _forget(self, text: str) -> None:
        record = self._records.pop(text)
        if record.revoked:
            return
        started = (record.incarnation, record.sequence)
        previous = self._forgotten.get(record.issuer, started)
        if record.issuer in self._forgotten or len(self._forgotten) < MAX_ISSUERS:
            self._forgotten[record.issuer] = max(started, previous)


def _make_verdict(
    key: RequestKey, record: WitnessRecord, fingerprint: str
) -> KeyVerdict:
    if record.revoked:
        verdict = WitnessVerdict.REVOKED
    elif record.fingerprint != fingerprint:
        return KeyVerdict(key.text, fingerprint, WitnessVerdict.REUSED.value, '', '')
    elif record.ran:
        verdict = WitnessVerdict.RAN
    else:
        verdict = WitnessVerdict.STARTED
    return KeyVerdict(
        key.text, fingerprint, verdict.value, record.endpoint, record.stream_id
    )
