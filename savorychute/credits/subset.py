"""Which endpoints of a pool an instance uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.endpoint_group import EndpointGroup

ACTIVE = 'active'

#: With fewer than these in its own region, an instance uses other regions too.
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

    Its own region goes first.  Whole groups are taken in an order of the
    instance's own, so that it deals with few homes and that endpoints have
    equal numbers of users; from the last group, failure domains take turns.

    :param instance: its name.
    :param region: its region, or empty if it is not known yet.
    :param groups: of the pool.
    :param endpoints: by name.
    :param size: how many at most.
    """
    ordered = sorted(
        groups,
        key=lambda group: (group.region != region, _score(instance, group.key)),
    )
    chosen: list[Candidate] = []
    for group in ordered:
        is_foreign = bool(region) and group.region != region
        if len(chosen) >= size or (is_foreign and len(chosen) >= MIN_LOCAL_ENDPOINTS):
            break
        names = _alternate_domains(instance, group, endpoints)
        room = size - len(chosen)
        chosen.extend(Candidate(name, group.key) for name in names[:room])
    return tuple(chosen)


def _alternate_domains(
    instance: str, group: EndpointGroup, endpoints: Mapping[str, EndpointDocument]
) -> list[str]:
    """Return the active endpoints, one of each failure domain in turn."""
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
