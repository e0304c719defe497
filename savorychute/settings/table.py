"""The table of all settings of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.settings.peer_key_reader import read_peer_keys
from savorychute.settings.readers import (
    integer_reader,
    read_text,
    read_token_hashes,
)
from savorychute.settings.rows import (
    LOCATION_ROWS,
    LOG_LEVEL_ROW,
    MAX_DURATION_MS,
    address_row,
    extensions_row,
    port_row,
)
from savorychute.settings.scope import Scope
from savorychute.settings.setting import REQUIRED, Setting
from savorychute.settings.variant_readers import (
    read_admission,
    read_list_dialect,
    read_log_dialect,
    read_router,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_BYTES = 1 << 32
MAX_COUNT = 1_000_000
HOUR_MS = 3_600_000
# A suspected instance is pinged once more 1.2 s before the suspicion ends.
MIN_SUSPICION_MS = 1_500


def _text(name: str, default: str, doc: str) -> Setting:
    return Setting(name, default, '', Scope.INSTANCE, 'string', read_text, doc)


def _duration(name: str, default: int, doc: str, minimum: int = 1) -> Setting:
    reader = integer_reader(minimum, MAX_DURATION_MS)
    kind = f'{minimum} to {MAX_DURATION_MS}'
    return Setting(name, default, 'ms', Scope.DEPLOYMENT, kind, reader, doc)


def _size(name: str, default: int, doc: str) -> Setting:
    kind = f'1024 to {MAX_BYTES}'
    reader = integer_reader(1024, MAX_BYTES)
    return Setting(name, default, 'bytes', Scope.INSTANCE, kind, reader, doc)


def _count(name: str, default: int, doc: str) -> Setting:
    kind = f'1 to {MAX_COUNT}'
    reader = integer_reader(1, MAX_COUNT)
    return Setting(name, default, '', Scope.DEPLOYMENT, kind, reader, doc)


def _variant(
    name: str, default: str, reader: Callable[[Any], str], doc: str
) -> Setting:
    return Setting(
        name, default, '', Scope.DEPLOYMENT, 'a registered name', reader, doc
    )


SETTINGS: tuple[Setting, ...] = (
    *LOCATION_ROWS,
    Setting(
        'host',
        REQUIRED,
        '',
        Scope.INSTANCE,
        'string',
        read_text,
        'The IP address at which callers and other instances reach the instance.',
    ),
    _text('bind_host', '', 'The IP address to listen on; empty: the value of "host".'),
    port_row('caller_port', 8080, 'Port for callers and operators; 0: any free port.'),
    port_row('peer_port', 8081, 'Port for other instances; 0: any free port.'),
    Setting(
        'operator_token_hashes',
        {},
        '',
        Scope.DEPLOYMENT,
        'object: operator to SHA-256 in hex',
        read_token_hashes,
        'Digest of the bearer token of each operator.',
    ),
    address_row('log_address', Scope.DEPLOYMENT, "The platform's log."),
    _variant('log_dialect', 'http', read_log_dialect, 'The protocol of the log.'),
    address_row('list_address', Scope.DEPLOYMENT, "The platform's list of instances."),
    _variant('list_dialect', 'http', read_list_dialect, 'The protocol of the list.'),
    Setting(
        'peer_keys',
        REQUIRED,
        '',
        Scope.DEPLOYMENT,
        'list of keys',
        read_peer_keys,
        'Keys that authenticate instances to each other; the first one signs.',
    ),
    _text('tls_certificate_file', '', 'PEM chain for callers; empty: no TLS.'),
    _text('tls_key_file', '', 'PEM key that belongs to the chain.'),
    _duration(
        'tls_reload_interval_ms', 60_000, 'How often both TLS files are read again.'
    ),
    LOG_LEVEL_ROW,
    extensions_row('Modules that extend the instance, set up in this order.'),
    _variant('router', 'predicted', read_router, 'How an endpoint is chosen.'),
    _variant('admission', 'tiered', read_admission, 'How requests wait and are shed.'),
    _count('max_connections', 4096, 'Maximum number of open connections of callers.'),
    _size(
        'max_header_bytes', 32_768, 'Maximum size of the header section of one request.'
    ),
    _size('max_body_bytes', 4 << 20, 'Maximum size of the body of one request.'),
    _size(
        'max_buffers_bytes',
        16 << 20,
        'Maximum total size of the bodies that are being read.',
    ),
    _duration('header_timeout_ms', 10_000, 'Time for a header section to arrive.'),
    _duration('body_timeout_ms', 30_000, 'Time for a body to arrive.'),
    _duration(
        'idle_timeout_ms', 75_000, 'Time for which an idle connection is kept open.'
    ),
    _duration(
        'stalled_timeout_ms', 10_000, 'Time for which a caller may read nothing.'
    ),
    _duration('connect_timeout_ms', 1_000, 'Time to connect to an endpoint.'),
    _duration(
        'platform_timeout_ms', 3_000, 'Time for a response of the log or the list.'
    ),
    _duration('poll_timeout_ms', 1_000, "Time for an endpoint's load report."),
    _duration('order_timeout_ms', 30_000, 'Time for an engine to carry out an order.'),
    _duration(
        'leave_grace_ms',
        30_000,
        'How long a leaving instance still answers callers that have its address.',
        minimum=0,
    ),
    _count('max_retries', 3, 'Maximum number of further attempts of one request.'),
    _duration(
        'first_progress_timeout_ms',
        10_000,
        'Time for the first progress of an answer before another endpoint is tried.',
    ),
    _duration('gap_timeout_ms', 3_000, 'Time without progress of a started answer.'),
    _count(
        'max_queued_requests',
        4096,
        'Maximum number of waiting requests of all organisations.',
    ),
    _size(
        'max_queued_bytes',
        16 << 20,
        'Maximum total size of the bodies of waiting requests.',
    ),
    _duration('probe_interval_ms', 1_000, 'How often another instance is probed.'),
    _duration('probe_timeout_ms', 300, 'Time for an answer to a probe.'),
    _duration(
        'suspicion_ms',
        3_000,
        'Time from the suspicion of an instance until it counts as dead.',
        minimum=MIN_SUSPICION_MS,
    ),
    _duration('gossip_interval_ms', 250, 'How often updates about members are sent.'),
    _duration(
        'listing_interval_ms', 10_000, 'How often the list of instances is fetched.'
    ),
    _count(
        'discovery_seats', 3, 'Number of instances of a region in a discovery response.'
    ),
    _duration(
        'discovery_min_lifetime_ms',
        30_000,
        'Minimum time for which a caller keeps these instances.',
    ),
    _duration(
        'discovery_max_lifetime_ms',
        90_000,
        'Maximum of this time; each response draws a random value.',
    ),
    _duration(
        'configuration_poll_interval_ms',
        1_000,
        'How often the log is read by the instances that poll it.',
    ),
    _count(
        'endpoint_subset', 16, 'Number of endpoints of one model that an instance uses.'
    ),
    _duration(
        'load_poll_interval_ms',
        500,
        'How often an endpoint in use is polled for its load.',
    ),
    _duration(
        'ejection_ms', 1_000, 'Duration of the first ejection of a failing endpoint.'
    ),
    _duration('quarantine_lifetime_ms', HOUR_MS, 'How long a quarantine lasts.'),
    _duration(
        'key_lifetime_ms',
        600_000,
        'Maximum time from the issue of a key to the start of its request.',
    ),
    _duration(
        'outcome_lifetime_ms', 600_000, 'How long the outcomes of keys are stored.'
    ),
    _count('max_outcomes', 4_096, 'Maximum number of outcomes of keys in memory.'),
    _size(
        'max_outcomes_bytes', 8 << 20, 'Maximum total size of these outcomes in memory.'
    ),
)
