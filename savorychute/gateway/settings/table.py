"""The table of all settings of a gateway."""

from __future__ import annotations

from typing import Any

from savorychute.gateway.admission.admission_policies import ADMISSION_POLICIES
from savorychute.gateway.dispatch.speed_policies import SPEED_POLICIES
from savorychute.gateway.duties.server_policies import SERVER_POLICIES
from savorychute.gateway.platform_adapter import PLATFORMS
from savorychute.gateway.settings.gateway_settings import GatewaySettings
from savorychute.settings.path_reader import read_extension_paths
from savorychute.settings.readers import (
    choice_reader,
    number_reader,
    read_address,
    read_boolean,
    read_share,
    read_text,
    read_texts,
)
from savorychute.settings.rows import (
    LOCATION_ROWS,
    LOG_LEVEL_ROW,
    MAX_DURATION_MS,
    address_row,
    extensions_row,
    port_row,
)
from savorychute.settings.rule import Rule
from savorychute.settings.schema import SettingsSchema
from savorychute.settings.scope import Scope
from savorychute.settings.setting import REQUIRED, Setting

MIN_DURATION_S = 0.1
MAX_DURATION_S = MAX_DURATION_MS // 1_000
MAX_COUNT = 1_000_000
MAX_MEMORY_MB = 1 << 20
# With less, no response at all could be accepted.
MIN_RESPONSE_MB = 1
MAX_RESPONSE_MB = 1 << 20


def _read_platform(value: Any) -> str:
    name = read_text(value)
    if name not in PLATFORMS:
        raise ValueError(f'one of {", ".join(PLATFORMS) or "(no extension loaded)"}')
    return name


def _duration(name: str, default: float, doc: str) -> Setting:
    # A platform may state its bounds in fractions of 1 ms.
    reader = number_reader(1, MAX_DURATION_MS)
    kind = f'1 to {MAX_DURATION_MS}'
    return Setting(name, default, 'ms', Scope.DEPLOYMENT, kind, reader, doc)


def _seconds(name: str, default: float, doc: str) -> Setting:
    reader = number_reader(MIN_DURATION_S, MAX_DURATION_S)
    kind = f'{MIN_DURATION_S:g} to {MAX_DURATION_S}'
    return Setting(name, default, 's', Scope.DEPLOYMENT, kind, reader, doc)


def _quantity(name: str, default: float, maximum: int, unit: str, doc: str) -> Setting:
    # A platform that runs at a fraction of its load scales its bounds by that fraction,
    # so that even counts may be fractional.
    reader = number_reader(0, maximum)
    return Setting(
        name, default, unit, Scope.DEPLOYMENT, f'0 to {maximum}', reader, doc
    )


GATEWAY_SETTINGS: tuple[Setting, ...] = (
    *LOCATION_ROWS,
    address_row('caller_address', Scope.INSTANCE, 'Where callers send requests.'),
    address_row(
        'readiness_address',
        Scope.INSTANCE,
        'Where the platform checks readiness.',
    ),
    address_row(
        'discovery_address', Scope.INSTANCE, 'Where callers ask which instances to use.'
    ),
    port_row('metrics_port', REQUIRED, 'Where metrics are served.', minimum=1),
    port_row('peer_port', REQUIRED, 'Where other instances connect.', minimum=1),
    port_row(
        'tunnel_port',
        0,
        'Where other instances ask for tunnels to endpoints; 0 for any free port.',
    ),
    address_row('store_address', Scope.INSTANCE, "Address of the platform's store."),
    Setting(
        'extension_paths',
        (),
        '',
        Scope.DEPLOYMENT,
        'list of folders',
        read_extension_paths,
        'Folders that are searched for extensions.',
    ),
    extensions_row('Modules that register variants, for example a platform.'),
    Setting(
        'platform',
        REQUIRED,
        '',
        Scope.DEPLOYMENT,
        'a registered name',
        _read_platform,
        'Adapter for the protocols of the platform, callers and endpoints.',
    ),
    LOG_LEVEL_ROW,
    _quantity(
        'memory_mb', 256.0, MAX_MEMORY_MB, 'MB', 'Memory that the process may use.'
    ),
    Setting(
        'response_mb',
        32.0,
        'MB',
        Scope.DEPLOYMENT,
        f'{MIN_RESPONSE_MB} to {MAX_RESPONSE_MB}',
        number_reader(MIN_RESPONSE_MB, MAX_RESPONSE_MB),
        'Size of the largest response of an endpoint; a larger one is broken off.',
    ),
    _seconds('grace_s', 8.0, 'Time from the stop signal until the process is killed.'),
    _duration(
        'discovery_lifetime_ms', 2_000.0, 'How long callers may cache addresses.'
    ),
    _duration(
        'drain_notice_ms',
        2_000.0,
        'Time within which a leaving endpoint must stop receiving new requests.',
    ),
    _duration(
        'configuration_notice_ms',
        2_000.0,
        'Time within which an accepted configuration must be in force.',
    ),
    _duration(
        'revoke_notice_ms',
        5_000.0,
        'Time within which a revoked key must be refused.',
    ),
    Setting(
        'refuse_unconfirmed_keys',
        True,
        '',
        Scope.DEPLOYMENT,
        'true or false',
        read_boolean,
        'Refuse all keys when the store has been unavailable for nearly that long.',
    ),
    Setting(
        'retry_ratio',
        0.2,
        '',
        Scope.DEPLOYMENT,
        '0 to 1',
        read_share,
        'Retries to a service for each of its requests.',
    ),
    _seconds(
        'retry_window_s', 10.0, 'Window in which requests and retries are counted.'
    ),
    _quantity(
        'retry_slack',
        50.0,
        MAX_COUNT,
        '',
        'Additional retries in the window, of all instances together.',
    ),
    _duration('connect_timeout_ms', 400.0, 'Timeout for connecting to an endpoint.'),
    _duration(
        'store_timeout_ms', 1_000.0, 'How long the store may go without responding.'
    ),
    Setting(
        'duty_address',
        None,
        '',
        Scope.DEPLOYMENT,
        'host:port',
        read_address,
        'Where the platform receives calls of duties; none for no duties.',
    ),
    Setting(
        'duties',
        (),
        '',
        Scope.DEPLOYMENT,
        'list of names',
        read_texts,
        'Duties to carry out, by their names at the platform.',
    ),
    Setting(
        'server_policy',
        'reclaimable',
        '',
        Scope.DEPLOYMENT,
        ', '.join(SERVER_POLICIES),
        choice_reader(SERVER_POLICIES),
        'Policy for the number of endpoints, if the platform accepts orders.',
    ),
    Setting(
        'speed_policy',
        'even',
        '',
        Scope.DEPLOYMENT,
        ', '.join(SPEED_POLICIES),
        choice_reader(SPEED_POLICIES),
        'Whether the speeds of engines are observed, and used to place requests.',
    ),
    Setting(
        'admission_policy',
        'load-limits',
        '',
        Scope.DEPLOYMENT,
        ', '.join(ADMISSION_POLICIES),
        choice_reader(ADMISSION_POLICIES),
        'Rules for requests that compete for engines, besides the load limits.',
    ),
    _seconds('usage_window_s', 5.0, 'Length of the windows in which usage is counted.'),
    _seconds(
        'usage_due_s', 10.0, 'Time from the end of a window until its report is due.'
    ),
)

GATEWAY_RULES: tuple[Rule[GatewaySettings], ...] = (
    Rule(
        'readiness_address',
        'different from "caller_address"',
        lambda settings: settings.readiness_address != settings.caller_address,
    ),
)

GATEWAY_SCHEMA = SettingsSchema(GATEWAY_SETTINGS, GATEWAY_RULES, GatewaySettings)
