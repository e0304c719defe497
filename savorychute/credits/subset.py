"""Choice of the endpoints of a pool that an instance uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.endpoint_group import EndpointGroup

ACTIVE = 'active'

#: With fewer endpoints in its own region, an instance also uses other regions.
MIN_LOCAL_ENDPOINTS = 4


class Candidate(NamedTuple):
    """An endpoint that may be used, and the key of its group."""

    endpoint: str
    group: str


def choose_subset(
    instance: str,
    region: str,
    groups: Iterable[EndpointGroup],
    endpoints: Mapping[str, EndpointDocument],
    size: int,
) -> tuple[Candidate, ...]:
    """Return the endpoints of a pool that an instance uses.

    Endpoints of its own region come first.  Whole groups are chosen in an order
    specific to the instance, so that it communicates with few homes and endpoints have
    equal numbers of users.  Within a group, failure domains alternate.

    :param instance: name of the instance.
    :param region: region of the instance, or empty if it is not known yet.
    :param groups: groups of the pool.
    :param endpoints: endpoint documents by name.
    :param size: largest number of endpoints.
    """
    ordered = sorted(
        groups,
        key=lambda group: (group.region != region, _score(instance, group.key)),
    )
    chosen: list[Candidate] = []
    for group in ordered:
        is_remote = bool(region) and group.region != region
        if len(chosen) >= size or (is_remote and len(chosen) >= MIN_LOCAL_ENDPOINTS):
            break
        names = _alternate_domains(instance, group, endpoints)
        headroom = size - len(chosen)
        chosen.extend(Candidate(name, group.key) for name in names[:headroom])
    return tuple(chosen)


def _alternate_domains(
    instance: str, group: EndpointGroup, endpoints: Mapping[str, EndpointDocument]
) -> list[str]:
    """Return the active endpoints, alternating between failure domains."""
    by_domain: dict[str, list[str]] = {}
    names = sorted(group.names.values(), key=lambda name: _score(instance, name))
    for name in names:
        document = endpoints[name]
        if document['state'] == ACTIVE:
            by_domain.setdefault(document['failure_domain'], []).append(name)
    turns = [
        (turn, names.index(name), name)
        for members in by_domain.values()
        for turn, name in enumerate(members)
    ]
    return [name for _, _, name in sorted(turns)]


def _score(instance: str, name: str) -> int:
    return int(xxhash.xxh64_intdigest(f'{instance}|{name}'.encode()))
