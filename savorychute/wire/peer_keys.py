"""The keys of one instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_key import PeerKey  # noqa: TC001


class PeerKeys(NamedTuple):
    """The signing key, and further accepted keys.

    To rotate keys without interruption, first accept the new key on all instances,
    then sign with it and still accept the old key, then remove the old key.
    """

    signing: PeerKey
    accepted: tuple[PeerKey, ...] = ()

    def find(self, key_id: int) -> PeerKey | None:
        """Return the key with this number, or None."""
        for key in (self.signing, *self.accepted):
            if key.key_id == key_id:
                return key
        return None
