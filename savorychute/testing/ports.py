"""Ports for servers that tests start."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import suppress

from savorychute.testing.stand_in_http import LOOPBACK

# Below the range from which the system takes ports for outgoing connections, and a
# part of it for each process of a parallel run: a port that is free now must still be
# free when a server that was down for a while comes back.
FIRST_PORT = 20_000
PORTS_OF_PROCESS = 200
PROCESSES = 60
_ports = itertools.cycle(range(PORTS_OF_PROCESS))


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    :param count: how many.
    """
    first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_OF_PROCESS
    ports: list[int] = []
    while len(ports) < count:
        port = first + next(_ports)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            ports.append(port)
    return ports
