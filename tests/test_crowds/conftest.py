"""Shared fixture of the tests with crowds."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
from crowd_instance import run_instance
from crowd_process import FILES, SPARE_FILES
from crowd_site import run_site


class Crowd:
    """Callers that stay while the test goes on.

    :param site: the process that they call.
    """

    def __init__(self, site):
        self.site = site
        self._tasks = []

    def add(self, count, make_caller):
        """Start callers, each with a coroutine that *make_caller* returns."""
        self._tasks += [asyncio.create_task(make_caller()) for _ in range(count)]

    async def wait(self):
        """Wait until all callers have ended by themselves."""
        await asyncio.gather(*self._tasks)

    async def stay(self, seconds):
        """Let the callers go on for some time."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)

    async def leave(self):
        """Let all callers leave at once."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError, OSError):
                await task
        self._tasks = []


@pytest.fixture
def play(tmp_path):
    """Return a function that plays a crowd, and checks a gateway during and after."""

    def run(crowd_of, *, leaves=True):
        asyncio.run(check(run_site(tmp_path), crowd_of, leaves))

    return run


@pytest.fixture
def play_instance(tmp_path):
    """Return a function that does the same with an assembled instance."""

    def run(crowd_of, *, encrypted=False):
        asyncio.run(check(run_instance(tmp_path, encrypted), crowd_of, leaves=False))

    return run


async def check(opened_site, crowd_of, leaves):
    async with opened_site as site, run_crowd(site) as crowd:
        assert await site.ask_ordinary() == 200
        await crowd_of(site, crowd)
        beside = await site.ask_ordinary()
        if leaves:
            await crowd.leave()
        after = await site.ask_ordinary()
        assert site.is_alive
        peak_mb, files = site.read_peak_mb(), site.most_files
        print(f'peak {peak_mb:.0f} MB, {files} descriptors, {beside}, {after}')
        assert peak_mb <= site.memory_mb
        assert files <= FILES - SPARE_FILES
        assert (beside, after) == (200, 200)


@asynccontextmanager
async def run_crowd(site):
    crowd = Crowd(site)
    try:
        yield crowd
    finally:
        await crowd.leave()
