"""The witness's side of issued keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.key_verdict import KeyVerdict
from savorychute.requests.start_answer import StartAnswer
from savorychute.requests.witness_note import WitnessNote
from savorychute.requests.witness_verdict import WitnessVerdict

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey
    from savorychute.requests.start_notice import StartNotice

MAX_ISSUERS = 4_096


class WitnessBook:
    """Decides between 'started' and 'revoked' for the keys that name it.

    Whatever comes first, a start notice or a question, decides for good.  The
    book belongs to one incarnation: a key that names an earlier one is never
    noted, because that one may have revoked it.

    A revocation is kept until its key is certainly past its lifetime at its
    issuer, which then refuses a late acceptance itself.  When a start is
    forgotten, all keys of that issuer up to its number are remembered as
    *possibly started*, so that a question about them never revokes.

    :param settings: bounds.
    :param address: this instance.
    """

    def __init__(self, settings: KeySettings, address: MemberAddress) -> None:
        self._settings = settings
        self._address = address
        self._notes: dict[str, WitnessNote] = {}
        self._forgotten: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._notes)

    def note_start(
        self, key: RequestKey, notice: StartNotice, now_ms: int
    ) -> StartAnswer:
        """Note a start unless the key is revoked, and answer the issuer.

        :param key: the key of the notice, parsed.
        :param notice: the notice.
        :param now_ms: the time.
        """
        if not self._is_named_by(key):
            return StartAnswer(key.text, False, 'another incarnation is the witness')
        note = self._notes.get(key.text)
        if note is not None and note.revoked:
            return StartAnswer(key.text, False, 'a caller asked and it was revoked')
        if note is not None and note.ran:
            return StartAnswer(key.text, True, '')
        if note is None and not self._make_room():
            return StartAnswer(key.text, False, 'the witness holds too many keys')
        self._notes.pop(key.text, None)
        self._notes[key.text] = WitnessNote(
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

    def answer(self, key: RequestKey, fingerprint: str, now_ms: int) -> KeyVerdict:
        """Say whether *key* was started; if it was not, revoke it.

        :param key: the key.
        :param fingerprint: of the request of the caller that asks.
        :param now_ms: the time.
        """
        note = self._notes.get(key.text)
        if note is not None:
            return _describe(key, note, fingerprint)
        verdict = WitnessVerdict.FORGOTTEN
        if self._may_revoke(key):
            self._revoke(key, now_ms)
            verdict = WitnessVerdict.REVOKED
        return KeyVerdict(key.text, fingerprint, verdict.value, '', '')

    def settle(self, key: RequestKey, ran: bool, now_ms: int) -> None:
        """Take the issuer's word for what became of a key.

        :param key: the key.
        :param ran: whether it ran to its end; if not, it certainly never ran
            and the issuer will not run it.
        :param now_ms: the time.
        """
        if not self._is_named_by(key):
            return
        note = self._notes.get(key.text)
        if not ran and (note is not None or self._make_room()):
            self._revoke(key, now_ms)
        elif ran and note is not None and not note.revoked:
            self._notes[key.text] = note._replace(ran=True)

    def expire(self, now_ms: int) -> None:
        """Forget notes whose keys are past their lifetime for certain.

        :param now_ms: the time.
        """
        limit_ms = self._settings.key_lifetime_ms + self._settings.witness_margin_ms
        old = []
        for text, note in self._notes.items():
            if now_ms - note.noted_ms <= limit_ms:
                break
            old.append(text)
        for text in old:
            self._forget(text)

    def _is_named_by(self, key: RequestKey) -> bool:
        own = (self._address.instance, self._address.incarnation)
        return own == (key.witness, key.witness_incarnation)

    def _may_revoke(self, key: RequestKey) -> bool:
        if not self._is_named_by(key) or self._may_have_forgotten(key):
            return False
        return self._make_room()

    def _may_have_forgotten(self, key: RequestKey) -> bool:
        forgotten = self._forgotten.get(key.instance)
        if forgotten is None:
            # With the table full, a start of any issuer may be forgotten.
            return len(self._forgotten) >= MAX_ISSUERS
        return (key.incarnation, key.sequence) <= forgotten

    def _revoke(self, key: RequestKey, now_ms: int) -> None:
        # A new entry goes to the end, so that the order stays that of the times.
        self._notes.pop(key.text, None)
        self._notes[key.text] = WitnessNote(
            True, now_ms, key.instance, key.incarnation, key.sequence, ''
        )

    def _make_room(self) -> bool:
        """Forget the oldest note if the book is full.

        A revocation must not be forgotten early: a start notice on the way
        would then be accepted although a caller was told 'not run'.
        """
        if len(self._notes) < self._settings.max_notes:
            return True
        oldest = next(iter(self._notes))
        if self._notes[oldest].revoked:
            return False
        self._forget(oldest)
        return True

    def _forget(self, text: str) -> None:
        note = self._notes.pop(text)
        if note.revoked:
            return
        started = (note.incarnation, note.sequence)
        known = self._forgotten.get(note.issuer, started)
        if note.issuer in self._forgotten or len(self._forgotten) < MAX_ISSUERS:
            self._forgotten[note.issuer] = max(started, known)


def _describe(key: RequestKey, note: WitnessNote, fingerprint: str) -> KeyVerdict:
    if note.revoked:
        verdict = WitnessVerdict.REVOKED
    elif note.fingerprint != fingerprint:
        return KeyVerdict(key.text, fingerprint, WitnessVerdict.REUSED.value, '', '')
    elif note.ran:
        verdict = WitnessVerdict.RAN
    else:
        verdict = WitnessVerdict.STARTED
    return KeyVerdict(
        key.text, fingerprint, verdict.value, note.endpoint, note.stream_id
    )
