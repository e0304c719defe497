"""Sockets that listen before the rest of a gateway is loaded."""

from __future__ import annotations

import socket
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING

import json5

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from pathlib import Path

# Where callers come without being asked: with requests, and with questions for addresses.
EARLY_SETTINGS = ('caller_address', 'discovery_address')
# Callers that wait here are read when the gateway runs, within about half a second.
BACKLOG = 512

EarlyListeners = dict[str, socket.socket]


@contextmanager
def open_early_listeners(path: Path | str) -> Iterator[EarlyListeners]:
    """Listen on the addresses of a settings file until the block ends, by address.

    After a loss of all power each instance starts at the same moment, and callers have
    one retry.  Loading a gateway takes 0.2 s of processor time more than an interpreter;
    a port on which nobody listens resets its callers meanwhile, and they fail.  A
    listening socket keeps them until they can be served.

    The settings are checked later, with all their faults; an address that cannot be read
    or used here is left to that.

    :param path: the settings file.
    """
    with ExitStack() as stack:
        listeners: EarlyListeners = {}
        for address in _read_addresses(path):
            try:
                listener = _listen(address)
            except (OSError, ValueError, OverflowError):
                # The gateway itself will listen, or tell the error with its reason.
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
    return _strings(document)


def _strings(document: Mapping[str, object]) -> list[str]:
    found = [document.get(name) for name in EARLY_SETTINGS]
    return [each for each in found if isinstance(each, str)]


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    listener.setblocking(False)
    return listener
