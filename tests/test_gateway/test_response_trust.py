"""Tests of what is remembered of responses without an id."""

from __future__ import annotations

from savorychute.gateway.requests.response_trust import (
    MAX_ADDRESSES,
    REMEMBERED_MS,
    UnvouchedAddresses,
)
from savorychute.http.client_pool import ServerAddress

NOW_MS = 5_000


def test_address_needs_new_connections_for_a_while():
    """Guards against endpoints that get new connections for good."""
    addresses = UnvouchedAddresses()
    address = ServerAddress('10.0.0.1', 80)
    assert not addresses.needs_new_connection(address, NOW_MS)
    addresses.record(address, NOW_MS)

    assert addresses.needs_new_connection(address, NOW_MS + REMEMBERED_MS - 1)
    assert not addresses.needs_new_connection(address, NOW_MS + REMEMBERED_MS)


def test_newest_addresses_are_remembered():
    """Guards against memory that grows with each address that endpoints ever had."""
    addresses = UnvouchedAddresses()
    count = 2 * MAX_ADDRESSES
    for port in range(count):
        addresses.record(ServerAddress('10.0.0.1', port), NOW_MS)
    remembered = [
        port
        for port in range(count)
        if addresses.needs_new_connection(ServerAddress('10.0.0.1', port), NOW_MS)
    ]

    assert remembered == list(range(MAX_ADDRESSES, count))
