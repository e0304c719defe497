"""Answers kept for callers that ask again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.stored_outcome import StoredOutcome


class OutcomeStore:
    """Answers by key, bounded in count and bytes; the oldest go first.

    :param settings: the bounds.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._outcomes: dict[int, StoredOutcome] = {}
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """The bodies' size in sum."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._outcomes)

    def keep(self, sequence: int, outcome: StoredOutcome) -> None:
        """Keep an answer unless its body is too large.

        :param sequence: the key's number.
        :param outcome: the answer.
        """
        if len(outcome.body) > self._settings.outcome_body_max_bytes:
            return
        self.forget(sequence)
        self._outcomes[sequence] = outcome
        self._size_bytes += len(outcome.body)
        while self._is_over_bounds():
            self.forget(next(iter(self._outcomes)))

    def find(self, sequence: int) -> StoredOutcome | None:
        """Return the answer for a key, or None if it is not kept.

        :param sequence: the key's number.
        """
        return self._outcomes.get(sequence)

    def forget(self, sequence: int) -> None:
        """Drop the answer for a key, if there is one.

        :param sequence: the key's number.
        """
        outcome = self._outcomes.pop(sequence, None)
        if outcome is not None:
            self._size_bytes -= len(outcome.body)

    def _is_over_bounds(self) -> bool:
        if len(self._outcomes) > self._settings.outcome_max_count:
            return True
        return self._size_bytes > self._settings.outcome_max_bytes
