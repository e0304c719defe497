"""Storage of responses for callers that retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.stored_outcome import StoredOutcome


class OutcomeStore:
    """Stores responses by key, limited in count and bytes; evicts the oldest first.

    :param settings: the limits.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._outcomes: dict[int, StoredOutcome] = {}
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """The total size of the stored bodies."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._outcomes)

    def store(self, sequence: int, outcome: StoredOutcome) -> None:
        """Store a response unless its body is too large.

        :param sequence: the sequence number of the key.
        :param outcome: the response.
        """
        if len(outcome.body) > self._settings.outcome_body_max_bytes:
            return
        self.discard(sequence)
        self._outcomes[sequence] = outcome
        self._size_bytes += len(outcome.body)
        while self._exceeds_limits():
            self.discard(next(iter(self._outcomes)))

    def find(self, sequence: int) -> StoredOutcome | None:
        """Return the response of a key, or None if it is not stored.

        :param sequence: the sequence number of the key.
        """
        return self._outcomes.get(sequence)

    def discard(self, sequence: int) -> None:
        """Discard the response of a key, if one is stored.

        :param sequence: the sequence number of the key.
        """
        outcome = self._outcomes.pop(sequence, None)
        if outcome is not None:
            self._size_bytes -= len(outcome.body)

    def _exceeds_limits(self) -> bool:
        if len(self._outcomes) > self._settings.outcome_max_count:
            return True
        return self._size_bytes > self._settings.outcome_max_bytes
