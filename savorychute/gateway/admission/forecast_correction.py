"""How much longer answers take than was predicted, by class."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.running_estimate import RunningQuantile

if TYPE_CHECKING:
    from savorychute.gateway.admission.late_answers import RequestClass

# The median moves by at most a twelfth for each answer, since an instance serves only a
# few of a class within the seconds for which a state of the engines lasts.
CORRECTION_QUANTILE = 0.5
CORRECTION_STEP = 0.16
# A forecast that is wrong by more than this is no basis of a refusal.
MIN_CORRECTION = 0.7
MAX_CORRECTION = 4.0


class ForecastCorrection:
    """Compares answers with their forecasts.

    A forecast does not know the requests that other instances send after the last
    report.  In a burst of 2.7 times the usual load answers took 2 to 3 times as long as
    predicted, and requests were sent that could not end in time.
    """

    def __init__(self) -> None:
        self._ratios: defaultdict[RequestClass, RunningQuantile] = defaultdict(
            lambda: RunningQuantile(1.0, CORRECTION_QUANTILE, CORRECTION_STEP)
        )

    def factor(self, request_class: RequestClass) -> float:
        """Return the factor by which to multiply the forecasts for a class.

        :param request_class: the class.
        """
        ratio = self._ratios.get(request_class)
        return 1.0 if ratio is None else ratio.value

    def record(
        self,
        request_class: RequestClass,
        predicted_ms: float,
        taken_ms: int,
        complete: bool,
    ) -> None:
        """Record how long an answer took.

        :param request_class: its class.
        :param predicted_ms: the forecast, without a correction.
        :param taken_ms: the time until it ended.
        :param complete: false if it ended at its deadline and would have taken longer.
        """
        ratio = self._ratios[request_class]
        sample = taken_ms / max(1.0, predicted_ms)
        if complete or sample > ratio.value:
            ratio.add(sample)
        ratio.value = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio.value))
