"""Costs of the library that callers use."""

from __future__ import annotations

from random import Random

import msgspec

from benches.capacity_roles.measuring import allocated_bytes, time_us
from benches.capacity_roles.polls_role import frame_request, frame_response
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_members, make_view
from benches.capacity_roles.target import SIZES
from savorychute.client.address_table import AddressTable, DiscoveryDocument
from savorychute.client.client_settings import ClientSettings
from savorychute.clock import ManualClock
from savorychute.http.client_pool import ClientPool, ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.membership import DiscoverySettings, answer_discovery

CALLER_TOKEN = 'x' * 43
SEED_ADDRESSES = 3


@role(
    'client library',
    'one question in 30 to 90 s to an address that it knows; the answer holds four '
    'addresses however many instances there are.  This is spent by callers, not by '
    'instances, and is left out of the sum',
    "nothing that grows with the system; the answer grows with an organisation's seats",
    SIZES,
    summed=False,
)
def measure_client(instances: int) -> RoleSample:
    """Measure one discovery request and its response at the mean lifetime.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    settings = DiscoverySettings()
    view = make_view(alive[0], alive)
    discovered = answer_discovery('organisation-1', view, settings, Random(1))
    response = msgspec.json.encode(
        {
            'instances': [
                {'host': address.host, 'port': address.caller_port}
                for address in discovered.addresses
            ],
            'lifetime_ms': discovered.lifetime_ms,
        }
    )
    headers = (('authorization', f'Bearer {CALLER_TOKEN}'),)
    request = HttpRequest('GET', '/v1/instances', headers)
    decoder = msgspec.json.Decoder(DiscoveryDocument)
    interval_s = (settings.min_lifetime_ms + settings.max_lifetime_ms) / 2_000
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(build_address_table),
        sent_messages_per_s=1 / interval_s,
        received_messages_per_s=1 / interval_s,
        sent_bytes_per_s=len(frame_request(request, alive[0].host)) / interval_s,
        received_bytes_per_s=len(frame_response(response)) / interval_s,
        processor_us_per_s=time_us(lambda: decoder.decode(response)) / interval_s,
    )


def build_address_table() -> AddressTable:
    """Return the address table of a client; its connections are not counted."""
    seeds = tuple(ServerAddress(f'10.0.0.{n}', 8400) for n in range(SEED_ADDRESSES))
    pool: ClientPool = None  # type: ignore[assignment]
    return AddressTable(ClientSettings(seeds, CALLER_TOKEN), pool, ManualClock())
