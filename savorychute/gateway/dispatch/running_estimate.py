"""Estimates that are updated with one sample at a time."""

from __future__ import annotations


class RunningMean:
    """An exponentially weighted mean with an initial value.

    One sample counts as at most ``MAX_SAMPLE_RATIO`` times the estimate, so that a
    frozen process or a crashed engine cannot move it far.

    :param prior: value assumed before the first sample, greater than 0.
    :param weight: weight of the newest sample.
    """

    MAX_SAMPLE_RATIO = 4.0

    __slots__ = ('_weight', 'value')

    def __init__(self, prior: float, weight: float) -> None:
        self.value = prior
        self._weight = weight

    def add(self, sample: float) -> None:
        """Add a sample.

        :param sample: 0 or more.
        """
        bounded = min(sample, self.MAX_SAMPLE_RATIO * self.value)
        self.value += self._weight * (bounded - self.value)


class RunningQuantile:
    """A quantile with an initial value that follows its samples in small steps.

    Each sample moves it by at most ``step`` of its value whatever the sample's size, so
    outliers have no additional weight.

    :param prior: value assumed before the first sample, greater than 0.
    :param share: share of samples that are to lie below the quantile.
    :param step: relative size of a step.
    """

    __slots__ = ('_share', '_step', 'value')

    def __init__(self, prior: float, share: float, step: float) -> None:
        self.value = prior
        self._share = share
        self._step = step

    def add(self, sample: float) -> None:
        """Add a sample."""
        if sample > self.value:
            self.value *= 1.0 + self._step * self._share
        else:
            self.value *= 1.0 - self._step * (1.0 - self._share)
