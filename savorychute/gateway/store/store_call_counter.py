"""Counts calls to the platform's store."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.store.call_purpose import CallPurpose
    from savorychute.metrics import Metrics

METRIC_NAME = 'store_calls_total'


class StoreCallCounter:
    """Counts the calls of one instance by topic and purpose.

    Each call has a price, and the store limits the calls of all instances together, so
    operators need to see which calls are made for which purpose.

    :param metrics: the registry that publishes the counts.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._calls: Counter[tuple[str, str]] = Counter()

    def counter_for(self, topic: str) -> Callable[[CallPurpose], None]:
        """Return a function that counts the calls on one topic.

        :param topic: the name of the topic.
        """

        def count(purpose: CallPurpose) -> None:
            self._calls[topic, purpose.value] += 1
            self._metrics.count(METRIC_NAME, topic=topic, purpose=purpose.value)

        return count

    def summary(self) -> dict[str, str]:
        """Return the counts of each topic as one text for the log, largest first."""
        by_topic: dict[str, str] = {}
        for (topic, purpose), count in self._calls.most_common():
            row = f'{purpose}={count}'
            by_topic[topic] = f'{by_topic[topic]},{row}' if topic in by_topic else row
        return by_topic
