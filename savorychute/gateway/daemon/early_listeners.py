"""Sockets that listen before the rest of a gateway is loaded."""

from __future__ import annotations

import socket
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING

import json5

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from pathlib import Path

# Addresses that callers connect to: for requests, and for discovery.
EARLY_ADDRESS_SETTINGS = ('caller_address', 'discovery_address')
# Connections that queue here are served once the gateway runs, within about 0.5 s.
BACKLOG_CONNECTIONS = 512

EarlyListeners = dict[str, socket.socket]


@contextmanager
def open_early_listeners(path: Path | str) -> Iterator[EarlyListeners]:
    """Listen on the addresses of a settings file until the block ends.

    After a complete loss of power all instances start at the same time, and
    callers have one retry.  Loading a gateway takes 0.2 s of processor time more than
    starting an interpreter.  Meanwhile the kernel would reset connections to a port
    that is not listening, and callers would fail; a listening socket queues them until
    they can be served.

    All faults of the settings are reported later, when they are validated.  An address
    that cannot be read or used here is skipped.

    :param path: path of the settings file.
    :returns: the sockets, by address.
    """
    with ExitStack() as stack:
        listeners: EarlyListeners = {}
        for address in _read_addresses(path):
            try:
                listener = _listen(address)
            except (OSError, ValueError, OverflowError):
                # The gateway itself listens later, or reports the error.
                continue
            listeners[address] = stack.enter_context(listener)
        yield listeners


def _read_addresses(path: Path | str) -> list[str]:
    try:
        with open(path, encoding='utf-8') as file:
            document = json5.load(file)
    except (OSError, ValueError):
        return []
    if not isinstance(document, dict):
        return []
    return _select_addresses(document)


def _select_addresses(document: Mapping[str, object]) -> list[str]:
    values = [document.get(name) for name in EARLY_ADDRESS_SETTINGS]
    return [value for value in values if isinstance(value, str)]


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener
