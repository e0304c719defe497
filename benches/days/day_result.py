"""Results of days."""

from __future__ import annotations

import json
from typing import NamedTuple


class DayResult(NamedTuple):
    """The result of a day at a site.

    ``worth`` is the figure ``G`` of the report.  ``broken`` lists the broken rules with
    their counts; ``error`` says why the day could not be run.
    """

    site: str
    day: str
    worth: float = 0.0
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    broken: tuple[str, ...] = ()
    error: str = ''

    def row(self) -> str:
        """Return the result as a row of the Markdown table."""
        prefix = f'| {self.site} | {self.day} '
        if self.error:
            return f'{prefix}| | | | | {self.error} |'
        shares = f'| {self.served:.3f} | {self.refused:.3f} | {self.failed:.3f} '
        broken = ', '.join(self.broken) or '-'
        return f'{prefix}| {self.worth:.3f} {shares}| {broken} |'


def read_report(site: str, day: str, text: str) -> DayResult:
    """Return the result that a report contains.

    :param site: the name of the site.
    :param day: the name of the day.
    :param text: the report as JSON.
    """
    report = json.loads(text)
    broken = [f'{rule} {count}' for rule, count in report['breaks'].items()]
    if report['fault']:
        broken.append(str(report['fault']))
    return DayResult(
        site,
        day,
        report['G'],
        report['served'],
        report['refused'],
        report['failed'],
        tuple(broken),
    )
