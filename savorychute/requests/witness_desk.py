"""Handles messages to the witness of a key."""

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
    from savorychute.requests.witness_book import WitnessBook


class WitnessDesk:
    """Answers issuers and askers out of the witness's book.

    :param book: what this instance has noted.
    """

    def __init__(self, book: WitnessBook) -> None:
        self._book = book

    def note_start(self, sender: str, notice: StartNotice, now_ms: int) -> list[Action]:
        """Note a start, or refuse it, and answer the issuer.

        :param sender: who sent the notice; only a key's issuer may.
        :param notice: the notice.
        :param now_ms: the time.
        """
        key = _parse_issued(notice.key)
        if key is None or key.instance != sender:
            return []
        answer = self._book.note_start(key, notice, now_ms)
        return [SendPeer(sender, notice.host, notice.peer_port, answer)]

    def answer_question(
        self, sender: str, question: KeyQuestion, now_ms: int
    ) -> list[Action]:
        """Answer an instance that a caller asked about a key.

        :param sender: who asks.
        :param question: the question.
        :param now_ms: the time.
        """
        key = _parse_issued(question.key)
        if key is None:
            return []
        verdict = self._book.answer(key, question.fingerprint, now_ms)
        return [SendPeer(sender, question.host, question.peer_port, verdict)]

    def note_settled(self, sender: str, news: KeysSettled, now_ms: int) -> None:
        """Take an issuer's news of its keys.

        :param sender: who sent it; keys of other issuers are passed over.
        :param news: the news.
        :param now_ms: the time.
        """
        for text in news.ran:
            self._settle_noted(sender, text, True, now_ms)
        for text in news.not_run:
            self._settle_noted(sender, text, False, now_ms)

    def _settle_noted(self, sender: str, text: str, ran: bool, now_ms: int) -> None:
        key = _parse_issued(text)
        if key is not None and key.instance == sender:
            self._book.settle(key, ran, now_ms)


def _parse_issued(text: str) -> RequestKey | None:
    """Return the issued key in a peer message, or None if it is no such."""
    try:
        key = parse_key(text)
    except RequestError:
        return None
    return key if key.issued else None
