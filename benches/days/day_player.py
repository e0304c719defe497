"""Runs days, several at a time."""

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
    """Return the kinds of faults that the bench lists.

    :param text: the list; a line starts with the name of its kind and a colon.
    """
    names = [line.partition(':')[0] for line in text.splitlines() if ':' in line]
    return frozenset(name for name in names if name.isidentifier())


class DayPlayer:
    """Runs days, several at a time, each in a process of the bench.

    :param bench: the bench's executable.
    :param why: the reason, for the journal of the bench.
    :param jobs: number of days that run at once.
    """

    def __init__(self, bench: Path, why: str, jobs: int) -> None:
        self._bench = bench
        self._why = why
        self._free_jobs = asyncio.Semaphore(jobs)

    async def query_kinds(self, site: Path) -> frozenset[str]:
        """Return the kinds of faults that are possible at a site."""
        _, text = await self._run_bench('kinds', str(site))
        return read_kinds(text)

    async def play(self, site: Path, day: DayFile) -> DayResult:
        """Run one day at one site."""
        async with self._free_jobs:
            with tempfile.TemporaryDirectory() as folder:
                report = Path(folder) / 'report.json'
                status, text = await self._run_bench(
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
                    error = f'not played, status {status}: {text.strip()[-80:]}'
                    return DayResult(site.stem, day.path.stem, error=error)
                return read_report(site.stem, day.path.stem, report.read_text())

    async def _run_bench(self, *arguments: str) -> tuple[int, str]:
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
    """Run each day at each site where all its kinds of faults are possible.

    :param player: runs the days.
    :param sites: the site files.
    :param days: the days to run.
    """
    tasks = []
    for site in sites:
        kinds = await player.query_kinds(site)
        tasks += [player.play(site, day) for day in days if day.kinds <= kinds]
    return await asyncio.gather(*tasks)
