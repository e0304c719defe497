"""Ports for servers of tests."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import suppress

from savorychute.testing.stand_in_http import LOOPBACK

# The ports are below the range that the system uses for outgoing connections, and each
# process of a parallel run has its own part of them: a port that is free now must still
# be free when a stopped server restarts.
FIRST_PORT = 20_000
PORTS_PER_PROCESS = 200
PROCESSES = 60
_ports = itertools.cycle(range(PORTS_PER_PROCESS))


def free_ports(count: int) -> list[int]:
    """Return ports that are not in use.

    :param count: the number of ports.
    """
    first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_PER_PROCESS
    ports: list[int] = []
    while len(ports) < count:
        port = first + next(_ports)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            ports.append(port)
    return ports
