"""Metrics of an instance, rendered for ``/metrics``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from savorychute.metric_table import BUCKETS_MS, METRICS
from savorychute.util.bucket_counts import BucketCounts
from savorychute.util.label_limiter import OTHER, LabelLimiter

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from savorychute.metric_row import MetricRow
    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode

PREFIX = 'savorychute_'
MAX_SERIES = 2_048

_KINDS: dict[str, Any] = {'counter': Counter, 'gauge': Gauge, 'histogram': Histogram}


class Metrics:
    """The metrics of one instance.

    :param instance: the instance's name, a label of every series.
    :param rows: the definitions of the metrics.
    """

    def __init__(self, instance: str, rows: Sequence[MetricRow] = METRICS) -> None:
        self._registry = Registry()
        self._collectors: dict[str, Any] = {}
        self._limiters: dict[str, LabelLimiter] = {}
        self._histograms: dict[str, dict[str, BucketCounts]] = {}
        for row in rows:
            self._add(row, instance)

    def _add(self, row: MetricRow, instance: str) -> None:
        arguments: dict[str, Any] = {
            'const_labels': {'instance': instance},
            'registry': self._registry,
        }
        if row.kind == 'histogram':
            arguments['buckets'] = [*BUCKETS_MS, float('inf')]
            self._histograms[row.name] = {}
        kind = _KINDS[row.kind]
        self._collectors[row.name] = kind(PREFIX + row.name, row.doc, **arguments)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter.

        :param name: a counter of :data:`savorychute.metric_table.METRICS`.
        :param amount: the increase, not negative.
        :param labels: a value for each label; ``class`` is passed as ``class_name``.
        """
        collector = self._collectors[name]
        collector.add(self._label(collector, labels), amount)

    def set_total(self, name: str, total: float, **labels: str) -> None:
        """Set a counter to a total that is counted elsewhere.

        :param name: a counter of :data:`savorychute.metric_table.METRICS`.
        :param total: the total, not less than the previous one.
        :param labels: a value for each label.
        """
        collector = self._collectors[name]
        collector.set(self._label(collector, labels), total)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge.

        :param name: a gauge of :data:`savorychute.metric_table.METRICS`.
        :param value: the current value.
        :param labels: a value for each label.
        """
        collector = self._collectors[name]
        collector.set(self._label(collector, labels), value)

    def clear(self, name: str) -> None:
        """Remove all series of a gauge, so that obsolete ones are no longer reported.

        :param name: a gauge of :data:`savorychute.metric_table.METRICS`.
        """
        self._collectors[name].values.clear()

    def observe(self, name: str, value_ms: float, tier: int, count: int = 1) -> None:
        """Add observations to a histogram.

        :param name: a histogram of :data:`savorychute.metric_table.METRICS`.
        :param value_ms: the observed duration.
        :param tier: the value of the histogram's only label.
        :param count: the number of observations with this value.
        """
        by_tier = self._histograms[name]
        label = str(tier)
        histogram = by_tier.get(label)
        if histogram is None:
            histogram = by_tier.setdefault(label, BucketCounts(BUCKETS_MS))
        histogram.observe(value_ms, count)

    def finish_request(
        self,
        organisation: str,
        class_name: str,
        code: ResultCode,
        ran: Ran,
        target_met: bool | None = None,
        weight: float = 0.0,
    ) -> None:
        """Count a request that ended.

        :param organisation: the caller's organisation.
        :param class_name: the class of the request.
        :param code: the result code.
        :param ran: whether the request ran, as reported to the caller.
        :param target_met: whether the latency target was met, None without a target.
        :param weight: the contribution to goodput, 0 if it was not answered.
        """
        self.count(
            'requests_total',
            organisation=organisation,
            class_name=class_name,
            code=str(code.number),
            ran=ran.value,
        )
        if target_met is not None:
            met = str(target_met).lower()
            self.count(
                'targets_total',
                organisation=organisation,
                class_name=class_name,
                met=met,
            )
        if weight:
            self.count(
                'goodput_total',
                weight,
                organisation=organisation,
                class_name=class_name,
            )

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, Mapping[str, str]]:
        """Return the body and the headers of a response to ``/metrics``.

        :param accept: the values of the request's ``Accept`` headers.
        """
        for name, by_tier in self._histograms.items():
            for tier, histogram in by_tier.items():
                self._publish(name, tier, histogram)
        body, headers = render(self._registry, list(accept))
        return body, headers

    def _publish(self, name: str, tier: str, histogram: BucketCounts) -> None:
        collector = self._collectors[name]
        labels = {'tier': tier}
        try:
            published = collector.get_value(labels)
        except KeyError:
            collector.observe(labels, 0)
            published = collector.get_value(labels)
        cumulative = 0
        for bound, count in zip(published.buckets, histogram.counts, strict=True):
            cumulative += count
            published.buckets[bound] = cumulative
        published.sum = histogram.total
        published.observations = cumulative

    def _label(self, collector: Any, labels: dict[str, str]) -> dict[str, str]:
        limited = {
            _label_name(name): self._limiters.setdefault(name, LabelLimiter()).admit(
                str(value)
            )
            for name, value in labels.items()
        }
        # The number of combinations can be large although each label is limited.
        if len(collector.values) >= MAX_SERIES and limited not in collector.values:
            return dict.fromkeys(limited, OTHER)
        return limited


def _label_name(name: str) -> str:
    return 'class' if name == 'class_name' else name
