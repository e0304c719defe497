"""Groups of endpoints that share a home."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument

ACTIVE = 'active'
DRAINING = 'draining'

#: The number of groups doubles when their average size exceeds the group size divided
#: by this share.
FILL_SHARE = 0.75


class EndpointGroup(NamedTuple):
    """Endpoints of one region that serve the same pools.

    The keys of ``capacities`` and ``names`` are hashes of the endpoint names, which
    identify endpoints in messages.  Because the endpoints of a group share a home, the
    number of instance pairs that exchange messages grows with the number of groups, not
    of endpoints.
    """

    key: str
    number: int
    region: str
    pools: frozenset[str]
    names: dict[int, str]
    capacities: dict[int, int]

    @property
    def capacity(self) -> int:
        """Number of concurrent requests at all endpoints together."""
        return sum(self.capacities.values())


def pools_of(document: EndpointDocument) -> frozenset[str]:
    """Return the pools that an endpoint serves.

    :param document: document of the endpoint.
    """
    pools = set(document.get('models', ()))
    if 'service' in document:
        pools.add(f'service:{document["service"]}')
    return frozenset(pools)


def hash_name(name: str) -> int:
    """Return the 32-bit hash that identifies a name in messages.

    :param name: name of a group or endpoint.
    """
    return int(xxhash.xxh32_intdigest(name.encode()))


def build_groups(
    endpoints: Mapping[str, EndpointDocument], group_size: int
) -> dict[str, EndpointGroup]:
    """Return all groups by key.

    An endpoint's group is its hash modulo a power of two, so that adding an endpoint
    moves none of the others, except when the number of groups doubles.  Retired
    endpoints have no group.

    :param endpoints: endpoint documents by name.
    :param group_size: approximate number of endpoints in a group.
    """
    kinds: dict[tuple[str, frozenset[str]], list[str]] = {}
    for name, document in endpoints.items():
        if document['state'] in (ACTIVE, DRAINING):
            kind = (document['region'], pools_of(document))
            kinds.setdefault(kind, []).append(name)
    groups: dict[str, EndpointGroup] = {}
    for (region, pools), names in kinds.items():
        parts = _count_parts(len(names), group_size)
        for name in sorted(names):
            part = hash_name(name) % parts
            key = f'credits:{region}:{",".join(sorted(pools))}:{part}/{parts}'
            group = groups.setdefault(
                key, EndpointGroup(key, hash_name(key), region, pools, {}, {})
            )
            group.names[hash_name(name)] = name
            group.capacities[hash_name(name)] = endpoints[name]['concurrent_requests']
    return groups


def _count_parts(count: int, group_size: int) -> int:
    parts = 1
    while count / parts > group_size / FILL_SHARE:
        parts *= 2
    return parts
