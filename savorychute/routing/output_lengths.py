"""Learned lengths of answers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.routing.token_quantiles import TokenQuantiles

if TYPE_CHECKING:
    from savorychute.routing.length_settings import LengthSettings

MIN_WEIGHT = 8


class OutputLengths:
    """Quantiles of output tokens per organisation and class.

    A histogram is made at the first answer of a class; the least recently
    used is dropped beyond ``classes``.  Until a class has answered a
    few times, the lengths of all classes together stand in.

    :param settings: the bound on classes and the length to start from.
    """

    def __init__(self, settings: LengthSettings) -> None:
        self._settings = settings
        self._classes: OrderedDict[tuple[str, str], TokenQuantiles] = OrderedDict()
        self._all = TokenQuantiles()

    def __len__(self) -> int:
        return len(self._classes)

    def observe(self, organisation: str, class_name: str, tokens: int) -> None:
        """Learn from a whole answer.

        :param organisation: whose answer it was.
        :param class_name: the class of the request.
        :param tokens: how long it was.
        """
        key = (organisation, class_name)
        quantiles = self._classes.get(key)
        if quantiles is None:
            quantiles = self._classes[key] = TokenQuantiles()
            if len(self._classes) > self._settings.classes:
                self._classes.popitem(last=False)
        self._classes.move_to_end(key)
        quantiles.observe(tokens)
        self._all.observe(tokens)

    def expect(
        self, organisation: str, class_name: str, max_tokens: int, quantile: float = 0.5
    ) -> int:
        """Return the expected output of a request, in tokens.

        :param max_tokens: the request's own bound, 0 without one.
        :param quantile: which part of the answers is to be no longer.
        """
        quantiles = self._classes.get((organisation, class_name), self._all)
        if quantiles.total < MIN_WEIGHT:
            quantiles = self._all
        if quantiles.total < MIN_WEIGHT:
            expected = self._settings.output_tokens
        else:
            expected = round(quantiles.quantile(quantile))
        return min(expected, max_tokens) if max_tokens > 0 else expected
