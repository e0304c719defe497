"""The reports to which a home may still respond."""

from __future__ import annotations


class SentReports:
    """Numbers reports and records when each was sent.

    The validity of a grant starts at the report that it responds to: the home knew at
    least the content of that report, whenever its response arrives.
    """

    def __init__(self) -> None:
        self._number = 0
        self._sent_ms: dict[int, int] = {}

    def assign_number(self, now_ms: int) -> int:
        """Return the number of a report that is sent now.

        :param now_ms: the current time.
        """
        self._number += 1
        self._sent_ms[self._number] = now_ms
        return self._number

    def sent_ms(self, number: int) -> int | None:
        """Return when a report was sent, or None if it is discarded or unknown.

        :param number: number of the report.
        """
        return self._sent_ms.get(number)

    def discard_until(self, oldest_ms: int) -> None:
        """Discard the reports that were sent until a time.

        :param oldest_ms: that time.
        """
        while self._sent_ms:
            number, sent_ms = next(iter(self._sent_ms.items()))
            if sent_ms > oldest_ms:
                break
            del self._sent_ms[number]
