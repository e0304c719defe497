"""Rows that are common to the tables of settings."""

from __future__ import annotations

from typing import Any

from savorychute.settings.extension_reader import read_extensions
from savorychute.settings.readers import (
    choice_reader,
    integer_reader,
    read_address,
    read_name,
)
from savorychute.settings.scope import Scope
from savorychute.settings.setting import REQUIRED, Setting

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
# One day; no interval or timeout of an instance is longer.
MAX_DURATION_MS = 86_400_000
MAX_PORT = 65_535


def name_row(name: str, doc: str) -> Setting:
    """Return the row of a name that is required for each instance.

    :param name: the name of the setting.
    :param doc: the description of the setting.
    """
    return Setting(name, REQUIRED, '', Scope.INSTANCE, 'name', read_name, doc)


def address_row(name: str, scope: Scope, doc: str) -> Setting:
    """Return the row of a required address.

    :param name: the name of the setting.
    :param scope: whether the value may differ between instances.
    :param doc: the description of the setting.
    """
    return Setting(name, REQUIRED, '', scope, 'host:port', read_address, doc)


def port_row(name: str, default: Any, doc: str, minimum: int = 0) -> Setting:
    """Return the row of a port to listen on.

    :param name: the name of the setting.
    :param default: the value if the setting is omitted.
    :param doc: the description of the setting.
    :param minimum: 0 if the value may be 0, which stands for any free port.
    """
    kind = f'{minimum} to {MAX_PORT}'
    reader = integer_reader(minimum, MAX_PORT)
    return Setting(name, default, '', Scope.INSTANCE, kind, reader, doc)


# The name and the location of an instance.
LOCATION_ROWS = (
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
    choice_reader(LOG_LEVELS),
    'The least severe level that is logged.',
)


def extensions_row(doc: str) -> Setting:
    """Return the row of the modules that register variants.

    :param doc: the description of the setting.
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
