"""Queue of settled keys to report to their witnesses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.requests.keys_settled import KeysSettled

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.membership.member_view import MemberView
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey

MAX_KEYS_PER_MESSAGE = 64


class SettledKeyQueue:
    """Collects settled keys for each witness and reports them once per interval.

    A report only makes the verdicts of a witness more precise, so it is sent once
    and its loss is harmless: without it the verdict is 'may have run'.

    :param settings: the interval.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._ran: dict[str, list[str]] = {}
        self._not_run: dict[str, list[str]] = {}
        self._next_send_ms: int | None = None

    def add(self, key: RequestKey, ran: bool) -> None:
        """Queue the report of one key.

        :param key: a key whose start was announced to its witness.
        :param ran: true if its request completed, false if it never ran.
        """
        if not key.witness:
            return
        keys_by_witness = self._ran if ran else self._not_run
        key_texts = keys_by_witness.setdefault(key.witness, [])
        if len(key_texts) < MAX_KEYS_PER_MESSAGE:
            key_texts.append(key.text)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Send the queued reports if the interval has passed.

        :param view: the current members.
        :param now_ms: the current time.
        """
        if self._next_send_ms is not None and now_ms < self._next_send_ms:
            return []
        self._next_send_ms = now_ms + self._settings.settle_interval_ms
        actions: list[Action] = []
        for instance in sorted({*self._ran, *self._not_run}):
            address = view.address_of(instance)
            if address is None:
                continue
            message = KeysSettled(
                tuple(self._ran.get(instance, ())),
                tuple(self._not_run.get(instance, ())),
            )
            actions.append(SendPeer(instance, address.host, address.peer_port, message))
        self._ran.clear()
        self._not_run.clear()
        return actions
