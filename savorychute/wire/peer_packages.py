"""Imports the packages that define peer messages."""

from __future__ import annotations

import importlib
import importlib.util
import pkgutil

from savorychute.wire.peer_messages import PEER_MESSAGES

PEER_PACKAGES = (
    'savorychute.membership',
    'savorychute.configuration',
    'savorychute.credits',
    'savorychute.limits',
    'savorychute.requests',
    'savorychute.recovery',
    'savorychute.leases',
    'savorychute.gateway.duties',
    'savorychute.gateway.engines',
    'savorychute.gateway.paths',
    'savorychute.gateway.permits',
    'savorychute.gateway.recovery',
    'savorychute.gateway.store',
    'savorychute.gateway.streams',
)


def load_peer_messages() -> dict[int, type]:
    """Import all packages with peer messages, which registers the messages.

    :returns: the registered messages by tag.
    """
    for package in PEER_PACKAGES:
        if importlib.util.find_spec(package) is not None:
            _import_modules(package)
    return PEER_MESSAGES


def _import_modules(package: str) -> None:
    module = importlib.import_module(package)
    for module_info in pkgutil.iter_modules(module.__path__, f'{package}.'):
        importlib.import_module(module_info.name)
