"""Plays days, a few at a time."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from benches.days.day_result import DayResult, read_report

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benches.days.day_file import DayFile


def read_kinds(text: str) -> frozenset[str]:
    """Return the kinds of trouble that the bench's list explains.

    :param text: the list; a line begins with the name of its kind and a colon.
    """
    names = [line.partition(':')[0] for line in text.splitlines() if ':' in line]
    return frozenset(name for name in names if name.isidentifier())


class DayPlayer:
    """Plays days, a few at a time.

    :param bench: the bench's program.
    :param why: the reason, for its journal.
    :param jobs: days at the same time.
    """

    def __init__(self, bench: Path, why: str, jobs: int) -> None:
        self._bench = bench
        self._why = why
        self._places = asyncio.Semaphore(jobs)

    async def kinds(self, site: Path) -> frozenset[str]:
        """Return the kinds of trouble that may come at a site."""
        _, text = await self._run('kinds', str(site))
        return read_kinds(text)

    async def play(self, site: Path, day: DayFile) -> DayResult:
        """Play one day."""
        async with self._places:
            with tempfile.TemporaryDirectory() as folder:
                report = Path(folder) / 'report.json'
                status, text = await self._run(
                    'run',
                    str(site),
                    str(day.path),
                    '--no-cpu',
                    '--report',
                    str(report),
                    '--why',
                    f'{self._why}: {day.path.stem}',
                )
                if not report.exists():
                    trouble = f'not played, status {status}: {text.strip()[-80:]}'
                    return DayResult(site.stem, day.path.stem, trouble=trouble)
                return read_report(site.stem, day.path.stem, report.read_text())

    async def _run(self, *arguments: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            str(self._bench),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode(errors='replace')


async def play_all(
    player: DayPlayer, sites: Sequence[Path], days: Sequence[DayFile]
) -> list[DayResult]:
    """Play each day at each site where all its kinds of trouble may come.

    :param player: plays them.
    :param sites: the site files.
    :param days: the days.
    """
    tasks = []
    for site in sites:
        kinds = await player.kinds(site)
        tasks += [player.play(site, day) for day in days if day.kinds <= kinds]
    return await asyncio.gather(*tasks)
