"""Issues request keys."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from savorychute.requests.request_key import (
    FIELD_SEPARATOR,
    RequestKey,
    format_fields,
)
from savorychute.requests.witness_choice import choose_witnesses

if TYPE_CHECKING:
    import random

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

SECRET_BYTES = 16
TAG_BYTES = 8
MAX_RECALLED = 64
#: Longer than it takes to detect a death, so that no key names a dead witness.
UNANSWERING_MS = 10_000


class KeyIssuer:
    """Issues keys without keeping any state per key.

    Each key ends in a tag, a BLAKE2s hash keyed with a secret that lives as
    long as this incarnation.  Without it a caller could alter the issue time
    of a key that is no longer remembered and have its request run twice, or
    guess another caller's key and use it up.

    :param address: this instance.
    :param rng: source of the secret.
    """

    def __init__(self, address: MemberAddress, rng: random.Random) -> None:
        self._address = address
        self._secret = rng.randbytes(SECRET_BYTES)
        self._sequence = 0
        self._recalled: dict[str, MemberAddress] = {}
        self._unanswering: dict[str, int] = {}

    def issue(self, view: MemberView, now_ms: int) -> str:
        """Return a new key, with a witness if there is another instance.

        :param view: the members to choose the witness from.
        :param now_ms: the time; the key's age counts from here.
        """
        self._sequence += 1
        witness = self._next_witness(view, now_ms)
        key = RequestKey(
            text='',
            issued=True,
            sequence=self._sequence,
            issued_ms=now_ms,
            instance=self._address.instance,
            incarnation=self._address.incarnation,
            witness=witness.instance if witness else '',
            witness_incarnation=witness.incarnation if witness else 0,
        )
        fields = format_fields(key)
        return f'{fields}{FIELD_SEPARATOR}{self._tag(fields)}'

    def is_own(self, key: RequestKey) -> bool:
        """Return whether this incarnation issued *key*.

        :param key: any issued key.
        """
        expected = self._tag(format_fields(key))
        return hmac.compare_digest(expected.encode(), key.tag.encode())

    def recall_witness(self, key: RequestKey) -> MemberAddress | None:
        """Return where the witness of *key* was when the key was issued.

        A witness that is leaving is no longer in the view, yet answers.

        :param key: a key of this incarnation.
        """
        address = self._recalled.get(key.witness)
        if address is None or address.incarnation != key.witness_incarnation:
            return None
        return address

    def note_unanswered(self, witness: str, now_ms: int) -> None:
        """Name *witness* in new keys only if there is no other, for a while.

        :param witness: an instance that did not answer a start notice.
        :param now_ms: the time.
        """
        self._unanswering[witness] = now_ms + UNANSWERING_MS

    def _next_witness(self, view: MemberView, now_ms: int) -> MemberAddress | None:
        self._unanswering = {
            witness: until_ms
            for witness, until_ms in self._unanswering.items()
            if until_ms > now_ms
        }
        witnesses = choose_witnesses(self._address, view, self._unanswering)
        if not witnesses:
            return None
        witness = witnesses[self._sequence % len(witnesses)]
        self._recalled.pop(witness.instance, None)
        self._recalled[witness.instance] = witness
        if len(self._recalled) > MAX_RECALLED:
            del self._recalled[next(iter(self._recalled))]
        return witness

    def _tag(self, fields: str) -> str:
        digest = hashlib.blake2s(
            fields.encode(), key=self._secret, digest_size=TAG_BYTES
        )
        return digest.hexdigest()
