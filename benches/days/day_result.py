"""What came of a day."""

from __future__ import annotations

import json
from typing import NamedTuple


class DayResult(NamedTuple):
    """What came of a day at a site.

    ``broken`` holds the rules that were broken, with counts; ``trouble`` is why the day
    could not be played.
    """

    site: str
    day: str
    worth: float = 0.0
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    broken: tuple[str, ...] = ()
    trouble: str = ''

    def row(self) -> str:
        """Return the row of the table."""
        place = f'| {self.site} | {self.day} '
        if self.trouble:
            return f'{place}| | | | | {self.trouble} |'
        shares = f'| {self.served:.3f} | {self.refused:.3f} | {self.failed:.3f} '
        broken = ', '.join(self.broken) or '-'
        return f'{place}| {self.worth:.3f} {shares}| {broken} |'


def read_report(site: str, day: str, text: str) -> DayResult:
    """Return the result that a report holds.

    :param site: the name of the site.
    :param day: the name of the day.
    :param text: the report, JSON.
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
