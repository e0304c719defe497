"""Rows that the tables of settings have in common."""

from __future__ import annotations

from typing import Any

from savorychute.settings.extension_reader import read_extensions
from savorychute.settings.readers import (
    read_address,
    read_choice,
    read_name,
    read_whole,
)
from savorychute.settings.scope import Scope
from savorychute.settings.setting import REQUIRED, Setting

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
# A day: no interval or timeout of an instance is longer.
MAX_DURATION_MS = 86_400_000
MAX_PORT = 65_535


def name_row(name: str, doc: str) -> Setting:
    """Return the row of a name that each instance must be given.

    :param name: of the setting.
    :param doc: what it says.
    """
    return Setting(name, REQUIRED, '', Scope.INSTANCE, 'name', read_name, doc)


def address_row(name: str, scope: Scope, doc: str) -> Setting:
    """Return the row of an address that must be given.

    :param name: of the setting.
    :param scope: whether instances differ in it.
    :param doc: what it says.
    """
    return Setting(name, REQUIRED, '', scope, 'host:port', read_address, doc)


def port_row(name: str, default: Any, doc: str, minimum: int = 0) -> Setting:
    """Return the row of a port to listen on.

    :param name: of the setting.
    :param default: its value if it is left out.
    :param doc: what it says.
    :param minimum: 0 where any free port may be taken.
    """
    kind = f'{minimum} to {MAX_PORT}'
    reader = read_whole(minimum, MAX_PORT)
    return Setting(name, default, '', Scope.INSTANCE, kind, reader, doc)


# Who and where an instance is.
PLACE_ROWS = (
    name_row('instance', 'The name of this instance, unique.'),
    name_row('region', 'The region it runs in.'),
    name_row('failure_domain', 'The failure domain it runs in.'),
)

LOG_LEVEL_ROW = Setting(
    'log_level',
    'info',
    '',
    Scope.INSTANCE,
    ', '.join(LOG_LEVELS),
    read_choice(LOG_LEVELS),
    'The least severe level that is logged.',
)


def extensions_row(doc: str) -> Setting:
    """Return the row of the modules that register variants.

    :param doc: what they are good for.
    """
    return Setting(
        'extensions',
        (),
        '',
        Scope.DEPLOYMENT,
        'list of modules',
        read_extensions,
        doc,
    )
