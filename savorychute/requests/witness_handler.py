"""Handles the messages that a witness receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.errors import RequestError
from savorychute.requests.request_key import parse_key

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.requests.key_question import KeyQuestion
    from savorychute.requests.keys_settled import KeysSettled
    from savorychute.requests.request_key import RequestKey
    from savorychute.requests.start_notice import StartNotice
    from savorychute.requests.witness_table import WitnessTable


class WitnessHandler:
    """Responds to start notices and queries from the records of the witness.

    :param table: the records of this instance.
    """

    def __init__(self, table: WitnessTable) -> None:
        self._table = table

    def handle_start_notice(
        self, sender: str, notice: StartNotice, now_ms: int
    ) -> list[Action]:
        """Record or refuse a start and respond to the issuer.

        :param sender: the instance that sent the notice; ignored unless it issued
            the key.
        :param notice: the notice.
        :param now_ms: the current time.
        """
        key = _parse_issued(notice.key)
        if key is None or key.instance != sender:
            return []
        response = self._table.record_start(key, notice, now_ms)
        return [SendPeer(sender, notice.host, notice.peer_port, response)]

    def handle_question(
        self, sender: str, question: KeyQuestion, now_ms: int
    ) -> list[Action]:
        """Respond to the query of an instance that received a request with the key.

        :param sender: the instance that sent the query.
        :param question: the query.
        :param now_ms: the current time.
        """
        key = _parse_issued(question.key)
        if key is None:
            return []
        verdict = self._table.decide(key, question.fingerprint, now_ms)
        return [SendPeer(sender, question.host, question.peer_port, verdict)]

    def handle_settled(self, sender: str, settled: KeysSettled, now_ms: int) -> None:
        """Record the settled keys that an issuer reports.

        :param sender: the issuer; keys of other issuers are ignored.
        :param settled: the report.
        :param now_ms: the current time.
        """
        for text in settled.ran:
            self._record_settled(sender, text, True, now_ms)
        for text in settled.not_run:
            self._record_settled(sender, text, False, now_ms)

    def _record_settled(self, sender: str, text: str, ran: bool, now_ms: int) -> None:
        key = _parse_issued(text)
        if key is not None and key.instance == sender:
            self._table.record_settled(key, ran, now_ms)


def _parse_issued(text: str) -> RequestKey | None:
    """Return the key that *text* represents, or None if it is not an issued key."""
    try:
        key = parse_key(text)
    except RequestError:
        return None
    return key if key.issued else None
