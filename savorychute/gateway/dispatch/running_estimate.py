"""Estimates that follow what is observed, one sample at a time."""

from __future__ import annotations


class RunningMean:
    """A mean that forgets, from a stated first guess.

    One sample counts as at most ``MOST_RATIO`` times the estimate, so that a frozen
    process or a dead engine cannot move it far.

    :param prior: what is assumed before the first sample, more than 0.
    :param weight: of the newest sample.
    """

    MOST_RATIO = 4.0

    __slots__ = ('_weight', 'value')

    def __init__(self, prior: float, weight: float) -> None:
        self.value = prior
        self._weight = weight

    def add(self, sample: float) -> None:
        """Take in a sample.

        :param sample: 0 or more.
        """
        bounded = min(sample, self.MOST_RATIO * self.value)
        self.value += self._weight * (bounded - self.value)


class RunningQuantile:
    """A quantile that follows its samples in small steps, from a stated first guess.

    Each sample moves it by at most ``step`` of itself whatever the sample's size, so
    outliers have no weight of their own.

    :param prior: what is assumed before the first sample, more than 0.
    :param share: the part of samples that are to lie below.
    :param step: relative size of a move.
    """

    __slots__ = ('_share', '_step', 'value')

    def __init__(self, prior: float, share: float, step: float) -> None:
        self.value = prior
        self._share = share
        self._step = step

    def add(self, sample: float) -> None:
        """Take in a sample."""
        if sample > self.value:
            self.value *= 1.0 + self._step * self._share
        else:
            self.value *= 1.0 - self._step * (1.0 - self._share)
