"""The one table of settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.settings.peer_key_reader import read_peer_keys
from savorychute.settings.readers import (
    read_text,
    read_token_hashes,
    read_whole,
)
from savorychute.settings.rows import (
    LOG_LEVEL_ROW,
    MAX_DURATION_MS,
    PLACE_ROWS,
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
# A suspect is pinged once more 1.2 s before the end.
MIN_SUSPICION_MS = 1_500


def _text(name: str, default: str, doc: str) -> Setting:
    return Setting(name, default, '', Scope.INSTANCE, 'string', read_text, doc)


def _duration(name: str, default: int, doc: str, minimum: int = 1) -> Setting:
    reader = read_whole(minimum, MAX_DURATION_MS)
    kind = f'{minimum} to {MAX_DURATION_MS}'
    return Setting(name, default, 'ms', Scope.DEPLOYMENT, kind, reader, doc)


def _size(name: str, default: int, doc: str) -> Setting:
    kind = f'1024 to {MAX_BYTES}'
    reader = read_whole(1024, MAX_BYTES)
    return Setting(name, default, 'bytes', Scope.INSTANCE, kind, reader, doc)


def _count(name: str, default: int, doc: str) -> Setting:
    kind = f'1 to {MAX_COUNT}'
    reader = read_whole(1, MAX_COUNT)
    return Setting(name, default, '', Scope.DEPLOYMENT, kind, reader, doc)


def _variant(
    name: str, default: str, reader: Callable[[Any], str], doc: str
) -> Setting:
    return Setting(
        name, default, '', Scope.DEPLOYMENT, 'a registered name', reader, doc
    )


SETTINGS: tuple[Setting, ...] = (
    *PLACE_ROWS,
    Setting(
        'host',
        REQUIRED,
        '',
        Scope.INSTANCE,
        'string',
        read_text,
        'The IP number by which callers and other instances reach it.',
    ),
    _text('bind_host', '', 'The IP number to listen on; empty: that of "host".'),
    port_row('caller_port', 8080, 'Port for callers and operators; 0: any free one.'),
    port_row('peer_port', 8081, 'Port for other instances; 0: any free one.'),
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
    _duration('tls_reload_interval_ms', 60_000, 'How often both files are read anew.'),
    LOG_LEVEL_ROW,
    extensions_row('Modules that extend the instance, set up in this order.'),
    _variant('router', 'predicted', read_router, 'How an endpoint is chosen.'),
    _variant('admission', 'tiered', read_admission, 'How requests wait and are shed.'),
    _count('max_connections', 4096, 'Open connections of callers.'),
    _size('max_header_bytes', 32_768, 'Header section of one request.'),
    _size('max_body_bytes', 4 << 20, 'Body of one request.'),
    _size('max_buffers_bytes', 16 << 20, 'Bodies that are being read, together.'),
    _duration('header_timeout_ms', 10_000, 'Time for a header section to arrive.'),
    _duration('body_timeout_ms', 30_000, 'Time for a body to arrive.'),
    _duration('idle_timeout_ms', 75_000, 'Time that an idle connection is kept.'),
    _duration('stalled_timeout_ms', 10_000, 'Time that a caller may read nothing.'),
    _duration('connect_timeout_ms', 1_000, 'Time to connect to an endpoint.'),
    _duration('platform_timeout_ms', 3_000, 'Time for an answer of log or list.'),
    _duration('poll_timeout_ms', 1_000, "Time for an endpoint's load report."),
    _duration('order_timeout_ms', 30_000, 'Time for an engine to follow an order.'),
    _duration(
        'leave_grace_ms',
        30_000,
        'How long a leaving instance still answers callers that have its address.',
        minimum=0,
    ),
    _count('max_retries', 3, 'Further attempts for one request.'),
    _duration(
        'first_progress_timeout_ms',
        10_000,
        'Time for the first sign of an answer before another endpoint is tried.',
    ),
    _duration('gap_timeout_ms', 3_000, 'Time between signs of a begun answer.'),
    _count('max_queued_requests', 4096, 'Requests that wait, of all organisations.'),
    _size('max_queued_bytes', 16 << 20, 'Their bodies in memory.'),
    _duration('probe_interval_ms', 1_000, 'How often another instance is probed.'),
    _duration('probe_timeout_ms', 300, 'Time for an answer to a probe.'),
    _duration(
        'suspicion_ms',
        3_000,
        'From suspicion of an instance to its death.',
        minimum=MIN_SUSPICION_MS,
    ),
    _duration('gossip_interval_ms', 250, 'How often news of members is passed on.'),
    _duration('listing_interval_ms', 10_000, 'How often the list is fetched.'),
    _count('discovery_seats', 3, 'Instances of a region in an answer to a caller.'),
    _duration(
        'discovery_min_lifetime_ms', 30_000, 'Least time that a caller keeps them.'
    ),
    _duration(
        'discovery_max_lifetime_ms', 90_000, 'Greatest time; each answer draws one.'
    ),
    _duration(
        'configuration_poll_interval_ms',
        1_000,
        'How often the log is read by those whose turn it is.',
    ),
    _count('endpoint_subset', 16, 'Endpoints of one model that an instance uses.'),
    _duration('load_poll_interval_ms', 500, 'How often a used endpoint is asked.'),
    _duration('ejection_ms', 1_000, 'First ejection of an endpoint that fails.'),
    _duration('quarantine_lifetime_ms', HOUR_MS, 'How long a quarantine lasts.'),
    _duration('key_lifetime_ms', 600_000, 'Time from issue of a key to its start.'),
    _duration('outcome_lifetime_ms', 600_000, 'How long outcomes of keys are kept.'),
    _count('max_outcomes', 4_096, 'Outcomes of keys in memory.'),
    _size('max_outcomes_bytes', 8 << 20, 'Their size in memory.'),
)
