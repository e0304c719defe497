"""The operator's config, and the entries of servers."""

from __future__ import annotations

HOST = 'desk.example'
KEY = 'key-of-the-only-tenant'
TENANT = 'hule930'
LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 4_194_304,
    'headerTimeoutMs': 3_000,
    'idleTimeoutMs': 15_000,
}


def make_config(
    version: int, routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Return a config with one tenant.

    :param version: its version.
    :param routes: its routes.
    :param services: its services.
    """
    return {
        'version': version,
        'routes': [{'hostname': HOST, 'priority': 1} | each for each in routes],
        'services': services,
        'limits': LIMITS,
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
    }


def make_entry(
    service: str, address: str, zone: str, slots: int, sequence: int
) -> dict[str, object]:
    """Return the entry that a ready server writes.

    :param service: its service.
    :param address: its address.
    :param zone: its zone.
    :param slots: the number of requests that it runs at once.
    :param sequence: the number of the entry.
    """
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': '1.0',
        'slots': slots,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': sequence,
    }
