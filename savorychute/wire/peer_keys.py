"""The keys that one instance uses."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_key import PeerKey  # noqa: TC001


class PeerKeys(NamedTuple):
    """The key to sign with, and others that are accepted besides.

    To rotate without a gap: accept the new key everywhere, then sign with it
    everywhere and accept the old one, then forget the old one.
    """

    signing: PeerKey
    accepted: tuple[PeerKey, ...] = ()

    def find(self, key_id: int) -> PeerKey | None:
        """Return the key with this number, or None."""
        for key in (self.signing, *self.accepted):
            if key.key_id == key_id:
                return key
        return None
