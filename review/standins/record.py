"""What was sent, answered and run, and the exit code of a case."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# An error of the interpreter itself exits with 1, so that run.sh translates these.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# A script may take 120 s; the rest is for the end of its processes.
TIMEOUT_S = 110.0


class CannotRunError(Exception):
    """The case cannot run, for example because a gateway does not become ready."""


class Record:
    """Collects lines, with the time since the start of the case in seconds."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._lines: list[str] = []
        self.violations: list[str] = []
        # The servers that began to run each attempt.
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.sent: set[str] = set()

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f'{time.monotonic() - self._started_s:8.3f} {text}')

    def add_violation(self, text: str) -> None:
        """Add a line that says how the rule was broken."""
        self.violations.append(text)
        self.add(f'BROKEN {text}')

    def add_sent(self, attempt: str, text: str) -> None:
        """Record that a consumer sends an attempt."""
        self.sent.add(attempt)
        self.add(f'sent {attempt} {text}')

    def add_run(self, attempt: str, server: str) -> None:
        """Record that a server begins to run an attempt."""
        self.runs[attempt].append(server)
        self.add(f'run {attempt} at {server}')

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text('\n'.join([*self._lines, '']), 'utf-8')


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[None]]) -> None:
    """Play a case, write its record and exit.

    :param folder: the folder of the case.
    :param play: plays it, given the record and a temporary folder.
    """
    record = Record()
    code = asyncio.run(_play(record, play))
    for violation in record.violations[:10]:
        record.add(f'summary: {violation}')
    record.add(f'exit code {code}, {len(record.violations)} violations')
    record.write(folder / 'record.txt')
    sys.exit(code)


async def _play(record: Record, play: Callable[[Record, Path], Awaitable[None]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await play(record, Path(temporary))
        except (Exception, asyncio.CancelledError) as error:
            record.add(f'the case could not run: {error!r}')
            return BROKEN if record.violations else NOT_RUN
    return BROKEN if record.violations else HELD
