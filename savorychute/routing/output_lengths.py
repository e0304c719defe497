"""Learned output lengths of answers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.routing.token_quantiles import TokenQuantiles

if TYPE_CHECKING:
    from savorychute.routing.length_settings import LengthSettings

MIN_TOTAL_WEIGHT = 8


class OutputLengths:
    """Quantiles of output tokens per organisation and class.

    A histogram is created at the first answer of a class; beyond ``classes``
    the one updated least recently is dropped.  Until a class has had a few
    answers, the lengths of all classes together are used.

    :param settings: the maximum number of classes and the initial length.
    """

    def __init__(self, settings: LengthSettings) -> None:
        self._settings = settings
        self._classes: OrderedDict[tuple[str, str], TokenQuantiles] = OrderedDict()
        self._all_classes = TokenQuantiles()

    def __len__(self) -> int:
        return len(self._classes)

    def observe(self, organisation: str, class_name: str, tokens: int) -> None:
        """Record the length of a complete answer.

        :param organisation: the organisation that received the answer.
        :param class_name: the class of the request.
        :param tokens: the length of the answer.
        """
        key = (organisation, class_name)
        quantiles = self._classes.get(key)
        if quantiles is None:
            quantiles = self._classes[key] = TokenQuantiles()
            if len(self._classes) > self._settings.classes:
                self._classes.popitem(last=False)
        self._classes.move_to_end(key)
        quantiles.observe(tokens)
        self._all_classes.observe(tokens)

    def expect(
        self, organisation: str, class_name: str, max_tokens: int, quantile: float = 0.5
    ) -> int:
        """Return the expected output of a request, in tokens.

        :param max_tokens: the limit that the request sets, or 0 without one.
        :param quantile: the share of answers that are to be no longer than the
            result.
        """
        quantiles = self._classes.get((organisation, class_name), self._all_classes)
        if quantiles.total_weight < MIN_TOTAL_WEIGHT:
            quantiles = self._all_classes
        if quantiles.total_weight < MIN_TOTAL_WEIGHT:
            expected = self._settings.output_tokens
        else:
            expected = round(quantiles.quantile(quantile))
        return min(expected, max_tokens) if max_tokens > 0 else expected
