"""Counts calls to the platform's store."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.store.call_purpose import CallPurpose
    from savorychute.metrics import Metrics

METRIC = 'store_calls_total'


class CallMeter:
    """Counts the calls of one instance by topic and purpose.

    Each call has a price, and the store bounds how many all instances make together, so
    an operator has to see which of them are made, and what for.

    :param metrics: where the counts are served.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._calls: Counter[tuple[str, str]] = Counter()

    def topic(self, name: str) -> Callable[[CallPurpose], None]:
        """Return what counts the calls on one topic.

        :param name: of the topic.
        """

        def count(purpose: CallPurpose) -> None:
            self._calls[name, purpose.value] += 1
            self._metrics.count(METRIC, topic=name, purpose=purpose.value)

        return count

    def summary(self) -> dict[str, str]:
        """Return the counts of each topic as one word for the log, the largest first."""
        words: dict[str, str] = {}
        for (topic, why), count in self._calls.most_common():
            row = f'{why}={count}'
            words[topic] = f'{words[topic]},{row}' if topic in words else row
        return words
