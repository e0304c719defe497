"""Conditions between settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.settings.rule import Rule

if TYPE_CHECKING:
    from savorychute.settings.settings import Settings

RULES: tuple[Rule[Settings], ...] = (
    Rule(
        'tls_key_file',
        'set together with "tls_certificate_file", or neither',
        lambda each: bool(each.tls_key_file) == bool(each.tls_certificate_file),
    ),
    Rule(
        'discovery_max_lifetime_ms',
        'not less than "discovery_min_lifetime_ms"',
        lambda each: each.discovery_max_lifetime_ms >= each.discovery_min_lifetime_ms,
    ),
    Rule(
        'probe_timeout_ms',
        'less than "probe_interval_ms"',
        lambda each: each.probe_timeout_ms < each.probe_interval_ms,
    ),
    Rule(
        'max_body_bytes',
        'not more than "max_buffers_bytes"',
        lambda each: each.max_body_bytes <= each.max_buffers_bytes,
    ),
    Rule(
        'peer_port',
        'different from "caller_port"',
        lambda each: each.peer_port != each.caller_port or not each.peer_port,
    ),
)
