"""Chooses the home instances that claim caller-supplied keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey


class ClaimHomes:
    """Assigns each key to one of a few home instances by rendezvous hashing.

    Every instance that claims keys appends to the log and reads the whole
    claims stream, so hundreds of them would overload the log.  The log alone
    decides whether a key may run, whichever instance claims it, so
    inconsistent member views cost no more than a redirect.

    :param settings: the number of homes and the interval of their selection.
    :param address: the address of this instance.
    """

    def __init__(self, settings: KeySettings, address: MemberAddress) -> None:
        self._settings = settings
        self._address = address
        self._homes: tuple[MemberAddress, ...] = (address,)
        self._next_refresh_ms = 0

    @property
    def is_home(self) -> bool:
        """Whether this instance is a home."""
        return any(home.instance == self._address.instance for home in self._homes)

    def refresh(self, view: MemberView, now_ms: int) -> None:
        """Select the homes again if the interval has passed.

        :param view: the current members.
        :param now_ms: the current time.
        """
        if now_ms < self._next_refresh_ms:
            return
        self._next_refresh_ms = now_ms + self._settings.claim_idle_interval_ms
        ranked = sorted(
            view.alive, key=lambda member: _rendezvous_weight('claims', member)
        )
        self._homes = tuple(ranked[: self._settings.claim_homes]) or (self._address,)

    def home_of(self, key: RequestKey) -> MemberAddress:
        """Return the home of a key.

        :param key: a caller-supplied key.
        """
        return min(self._homes, key=lambda member: _rendezvous_weight(key.text, member))


def _rendezvous_weight(text: str, member: MemberAddress) -> int:
    return xxhash.xxh64_intdigest(f'{text}/{member.instance}'.encode())
