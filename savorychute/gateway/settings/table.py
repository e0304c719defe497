"""The table of a gateway's settings."""

from __future__ import annotations

from typing import Any

from savorychute.gateway.platform_adapter import PLATFORMS
from savorychute.gateway.settings.gateway_settings import GatewaySettings
from savorychute.settings.extension_reader import read_extensions
from savorychute.settings.path_reader import read_extension_paths
from savorychute.settings.readers import (
    read_address,
    read_choice,
    read_flag,
    read_name,
    read_number,
    read_share,
    read_text,
    read_whole,
)
from savorychute.settings.rule import Rule
from savorychute.settings.schema import SettingsSchema
from savorychute.settings.scope import Scope
from savorychute.settings.setting import REQUIRED, Setting
from savorychute.settings.table import LOG_LEVELS, MAX_DURATION_MS

MAX_PORT = 65_535
LEAST_S = 0.1
MAX_DURATION_S = MAX_DURATION_MS // 1_000
MAX_COUNT = 1_000_000
MAX_MEMORY_MB = 1 << 20


def _read_platform(value: Any) -> str:
    name = read_text(value)
    if name not in PLATFORMS:
        raise ValueError(f'one of {", ".join(PLATFORMS) or "(no extension loaded)"}')
    return name


def _name(name: str, doc: str) -> Setting:
    return Setting(name, REQUIRED, '', Scope.INSTANCE, 'name', read_name, doc)


def _address(name: str, doc: str) -> Setting:
    return Setting(name, REQUIRED, '', Scope.INSTANCE, 'host:port', read_address, doc)


def _port(name: str, doc: str) -> Setting:
    reader = read_whole(1, MAX_PORT)
    return Setting(name, REQUIRED, '', Scope.INSTANCE, '1 to 65535', reader, doc)


def _duration(name: str, default: float, doc: str) -> Setting:
    # A platform may state its bounds in fractions of a millisecond.
    reader = read_number(1, MAX_DURATION_MS)
    kind = f'1 to {MAX_DURATION_MS}'
    return Setting(name, default, 'ms', Scope.DEPLOYMENT, kind, reader, doc)


def _seconds(name: str, default: float, doc: str) -> Setting:
    reader = read_number(LEAST_S, MAX_DURATION_S)
    kind = f'{LEAST_S:g} to {MAX_DURATION_S}'
    return Setting(name, default, 's', Scope.DEPLOYMENT, kind, reader, doc)


def _count(name: str, default: int, maximum: int, unit: str, doc: str) -> Setting:
    reader = read_whole(0, maximum)
    return Setting(
        name, default, unit, Scope.DEPLOYMENT, f'0 to {maximum}', reader, doc
    )


GATEWAY_SETTINGS: tuple[Setting, ...] = (
    _name('instance', 'The name of this instance, unique.'),
    _name('region', 'The region it runs in.'),
    _name('failure_domain', 'The failure domain it runs in.'),
    _address('caller_address', 'Where callers send requests.'),
    _address('readiness_address', 'Where the platform asks whether it is ready.'),
    _address('discovery_address', 'Where callers ask which instances to use.'),
    _port('metrics_port', 'Where metrics are served.'),
    _port('peer_port', 'Where other instances reach it.'),
    _address('store_address', "The platform's store."),
    Setting(
        'extension_paths',
        (),
        '',
        Scope.DEPLOYMENT,
        'list of folders',
        read_extension_paths,
        'Folders in which extensions are looked for.',
    ),
    Setting(
        'extensions',
        (),
        '',
        Scope.DEPLOYMENT,
        'list of modules',
        read_extensions,
        'Modules that register variants, for example a platform.',
    ),
    Setting(
        'platform',
        REQUIRED,
        '',
        Scope.DEPLOYMENT,
        'a registered name',
        _read_platform,
        'How the platform, callers and endpoints speak.',
    ),
    Setting(
        'log_level',
        'info',
        '',
        Scope.INSTANCE,
        ', '.join(LOG_LEVELS),
        read_choice(LOG_LEVELS),
        'The least severe level that is logged.',
    ),
    _count('memory_mb', 256, MAX_MEMORY_MB, 'MB', 'What the process may use.'),
    _seconds('grace_s', 8.0, 'From the signal to leave to the end by force.'),
    _duration('discovery_lifetime_ms', 2_000.0, 'How long callers keep addresses.'),
    _duration(
        'drain_notice_ms',
        2_000.0,
        'Within which a leaving endpoint must get nothing new.',
    ),
    _duration(
        'configuration_notice_ms',
        2_000.0,
        'Within which an accepted configuration must be in force.',
    ),
    _duration(
        'revoke_notice_ms',
        5_000.0,
        'Within which a key that was taken back must be refused.',
    ),
    Setting(
        'refuse_unconfirmed_keys',
        True,
        '',
        Scope.DEPLOYMENT,
        'true or false',
        read_flag,
        'Refuse all keys when the store has been silent for nearly that long.',
    ),
    Setting(
        'retry_ratio',
        0.2,
        '',
        Scope.DEPLOYMENT,
        '0 to 1',
        read_share,
        'Further attempts at a service for each of its requests.',
    ),
    _seconds('retry_window_s', 10.0, 'The span in which both are counted.'),
    _count(
        'retry_slack',
        50,
        MAX_COUNT,
        '',
        'Further attempts besides, of all instances together.',
    ),
    _duration('connect_timeout_ms', 400.0, 'Time to connect to an endpoint.'),
    _duration('store_timeout_ms', 1_000.0, 'Time for an answer of the store.'),
)

GATEWAY_RULES: tuple[Rule[GatewaySettings], ...] = (
    Rule(
        'readiness_address',
        'different from "caller_address"',
        lambda each: each.readiness_address != each.caller_address,
    ),
)

GATEWAY_SCHEMA = SettingsSchema(GATEWAY_SETTINGS, GATEWAY_RULES, GatewaySettings)
