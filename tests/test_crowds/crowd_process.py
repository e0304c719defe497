"""A process under test, and what it is expected to keep within."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

ROOT = Path(__file__).parents[2]
FILES = 400
# Descriptors that must stay free for endpoints, the store and peers.
SPARE_FILES = 40
BODY_BYTES = 1_048_576
HEADER_BYTES = 16_384
POLL_S = 0.05
KB_PER_MB = 1024


class CrowdProcess:
    """The process of one instance, with a low limit on descriptors.

    :param process: the process.
    :param caller_port: its port for callers.
    :param memory_mb: the memory of its machine.
    """

    def __init__(self, process, caller_port, memory_mb):
        self.process = process
        self.caller_port = caller_port
        self.memory_mb = memory_mb
        self.most_files = 0

    @property
    def is_alive(self):
        return self.process.returncode is None

    def read_peak_mb(self):
        """Return the largest resident memory that the process has had."""
        status = Path(f'/proc/{self.process.pid}/status').read_text('ascii')
        return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / KB_PER_MB

    async def watch_files(self):
        """Note how many descriptors are open until the task is cancelled."""
        folder = f'/proc/{self.process.pid}/fd'
        while self.is_alive:
            self.most_files = max(self.most_files, len(os.listdir(folder)))
            await asyncio.sleep(POLL_S)


async def start_process(folder, *arguments):
    """Start a Python module with a low limit on descriptors."""
    with (folder / 'process.log').open('ab') as log:
        return await asyncio.create_subprocess_exec(
            'sh',
            '-c',
            f'ulimit -n {FILES}; exec "$@"',
            'sh',
            sys.executable,
            '-m',
            *arguments,
            stdout=log,
            stderr=log,
            cwd=ROOT,
        )


@asynccontextmanager
async def watch(site):
    """Watch the descriptors of a process until the block ends, and end it then."""
    _, most_files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most_files, most_files))
    task = asyncio.create_task(site.watch_files())
    try:
        yield site
    finally:
        task.cancel()
        if site.is_alive:
            site.process.send_signal(signal.SIGKILL)
        await site.process.wait()
