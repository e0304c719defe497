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
MAX_RECENT_WITNESSES = 64
#: How long new keys avoid a witness that did not respond.  Longer than the detection
#: of a failed member takes, so that new keys do not name a failed witness.
UNRESPONSIVE_MS = 10_000


class KeyIssuer:
    """Issues keys without storing state for each of them.

    Each key ends in a tag, a BLAKE2s hash keyed with a secret of this
    incarnation.  Without the tag a caller could alter the issue time of a key
    whose record has expired and have its request run twice, or guess and use
    up another caller's key.

    :param address: the address of this instance.
    :param rng: the source of the secret.
    """

    def __init__(self, address: MemberAddress, rng: random.Random) -> None:
        self._address = address
        self._secret = rng.randbytes(SECRET_BYTES)
        self._sequence = 0
        self._recent_witnesses: dict[str, MemberAddress] = {}
        self._unresponsive_until_ms: dict[str, int] = {}

    def issue(self, view: MemberView, now_ms: int) -> str:
        """Return a new key, with a witness if there is another instance.

        :param view: the members from which the witness is chosen.
        :param now_ms: the current time, from which the age of the key is counted.
        """
        self._sequence += 1
        witness = self._choose_witness(view, now_ms)
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

        :param key: an issued key.
        """
        expected = self._tag(format_fields(key))
        return hmac.compare_digest(expected.encode(), key.tag.encode())

    def find_recent_witness(self, key: RequestKey) -> MemberAddress | None:
        """Return the address that the witness of *key* had at the issue of the key.

        A leaving witness is no longer among the alive members but still responds.

        :param key: a key issued by this incarnation.
        """
        address = self._recent_witnesses.get(key.witness)
        if address is None or address.incarnation != key.witness_incarnation:
            return None
        return address

    def record_unresponsive(self, witness: str, now_ms: int) -> None:
        """Avoid *witness* in new keys for a while if there is an alternative.

        :param witness: an instance that did not respond to a start notice.
        :param now_ms: the current time.
        """
        self._unresponsive_until_ms[witness] = now_ms + UNRESPONSIVE_MS

    def _choose_witness(self, view: MemberView, now_ms: int) -> MemberAddress | None:
        self._unresponsive_until_ms = {
            witness: until_ms
            for witness, until_ms in self._unresponsive_until_ms.items()
            if until_ms > now_ms
        }
        witnesses = choose_witnesses(self._address, view, self._unresponsive_until_ms)
        if not witnesses:
            return None
        witness = witnesses[self._sequence % len(witnesses)]
        self._recent_witnesses.pop(witness.instance, None)
        self._recent_witnesses[witness.instance] = witness
        if len(self._recent_witnesses) > MAX_RECENT_WITNESSES:
            del self._recent_witnesses[next(iter(self._recent_witnesses))]
        return witness

    def _tag(self, fields: str) -> str:
        digest = hashlib.blake2s(
            fields.encode(), key=self._secret, digest_size=TAG_BYTES
        )
        return digest.hexdigest()
