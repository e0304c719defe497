"""Chooses the few instances that claim caller-brought keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey


class ClaimHomes:
    """Sends each key to one of a few instances, by rendezvous hashing.

    Every instance that claims keys appends to the log and reads its whole
    stream, so with hundreds of them the log would be overrun.  Which instance
    claims a key never decides whether it may run; the log does.  So views that
    disagree cost a redirect, nothing else.

    :param settings: how many homes, and how often they are chosen anew.
    :param address: this instance.
    """

    def __init__(self, settings: KeySettings, address: MemberAddress) -> None:
        self._settings = settings
        self._address = address
        self._homes: tuple[MemberAddress, ...] = (address,)
        self._next_ms = 0

    @property
    def is_home(self) -> bool:
        """Whether this instance claims keys."""
        return any(home.instance == self._address.instance for home in self._homes)

    def refresh(self, view: MemberView, now_ms: int) -> None:
        """Choose the homes anew if it is time to.

        :param view: the members.
        :param now_ms: the time.
        """
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + self._settings.claim_idle_interval_ms
        ranked = sorted(view.alive, key=lambda member: _weigh('claims', member))
        self._homes = tuple(ranked[: self._settings.claim_homes]) or (self._address,)

    def find(self, key: RequestKey) -> MemberAddress:
        """Return the home of a key.

        :param key: a key that the caller brought.
        """
        return min(self._homes, key=lambda member: _weigh(key.text, member))


def _weigh(text: str, member: MemberAddress) -> int:
    return xxhash.xxh64_intdigest(f'{text}/{member.instance}'.encode())
