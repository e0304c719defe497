"""Ports for servers of tests."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import suppress
from functools import cache

from savorychute.testing.stand_in_http import LOOPBACK

# The ports are below the range that the system uses for outgoing connections, and each
# process of a parallel run has its own part of them: a port that is free now must still
# be free when a stopped server restarts.
FIRST_PORT = 20_000
PORTS_PER_PROCESS = 200
PROCESSES = 60
# The first port of each part is held by the process that the part belongs to.
_ports = itertools.cycle(range(1, PORTS_PER_PROCESS))
_claims: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Return ports that are not in use.

    :param count: the number of ports.
    """
    first = _claim_part(os.getpid())
    ports: list[int] = []
    while len(ports) < count:
        port = first + next(_ports)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            ports.append(port)
    return ports


@cache
def _claim_part(process: int) -> int:
    """Return the first port of a part that no other process uses.

    Process ids alone do not suffice: two of them may leave the same remainder.

    :param process: the id of this process.
    """
    for number in range(process, process + PROCESSES):
        first = FIRST_PORT + number % PROCESSES * PORTS_PER_PROCESS
        claim = socket.socket()
        try:
            claim.bind((LOOPBACK, first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return first
    raise RuntimeError(f'all {PROCESSES} parts of the ports are in use')
