"""Counts of the outcomes of all calls of the demonstration."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypedDict

from savorychute.demo.class_tally import ClassTally

if TYPE_CHECKING:
    from savorychute.demo.demo_class import DemoClass

ROUNDED_DIGITS = 4


class DemoResult(TypedDict):
    """The last output line of the demonstration."""

    answered: int
    refused: int
    unknown: int
    lost: int
    duplicated: int
    truncated: int
    goodput: float
    wasted_tokens_ratio: float
    attainment: dict[str, float]
    refusals: dict[str, int]


class Tally:
    """Counts by organisation and class.

    :param classes: the classes of the calls.
    """

    def __init__(self, classes: list[DemoClass]) -> None:
        self.classes = {
            self.get_class_name(each): ClassTally(
                each.call_class.tier, each.call_class.weight
            )
            for each in classes
        }
        self.refusals: Counter[str] = Counter()

    @staticmethod
    def get_class_name(demo_class: DemoClass) -> str:
        """Return the name of a class in the output."""
        return f'{demo_class.organisation}/{demo_class.call_class.name}'

    @property
    def calls(self) -> int:
        """The number of finished calls."""
        return sum(each.calls for each in self.classes.values())

    def summarise(
        self, duplicated: int, generated_tokens: int, duration_ms: int
    ) -> DemoResult:
        """Return the results of the demonstration.

        :param duplicated: non-idempotent calls that ran more than once.
        :param generated_tokens: the tokens that all engines generated.
        :param duration_ms: the time from the first call to the last response.
        """
        tallies = self.classes.values()
        useful_tokens = sum(each.answered_tokens for each in tallies)
        wasted_tokens = max(0, generated_tokens - useful_tokens)
        weighted = sum(each.answered * each.weight for each in tallies)
        return DemoResult(
            answered=sum(each.answered for each in tallies),
            refused=sum(each.refused for each in tallies),
            unknown=sum(each.unknown for each in tallies),
            lost=sum(each.lost for each in tallies),
            duplicated=duplicated,
            truncated=sum(each.truncated for each in tallies),
            goodput=round(weighted * 1_000 / max(1, duration_ms), ROUNDED_DIGITS),
            wasted_tokens_ratio=round(
                wasted_tokens / max(1, generated_tokens), ROUNDED_DIGITS
            ),
            attainment={
                name: round(each.attainment, ROUNDED_DIGITS)
                for name, each in self.classes.items()
            },
            refusals=dict(self.refusals),
        )
