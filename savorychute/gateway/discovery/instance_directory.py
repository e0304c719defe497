"""Records ready instances, and chooses those that callers should use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.discovery.discovery_query import DiscoveryQuery
    from savorychute.member_address import MemberAddress

# An instance that has reported nothing for this long is left out.  While there are few
# members, they probe each other at least once in 2 s.  A caller caches the response for
# seconds, so it should not contain an instance that is already gone.
MAX_REPORT_AGE_MS = 4_000
# If the caller's failure domain has fewer instances, those of other domains are
# returned as well, so that the caller has an alternative when one instance fails.
MIN_DOMAIN_INSTANCES = 2
MAX_INSTANCES = 16


class _ReportedInstance(NamedTuple):
    address: MemberAddress
    ready: bool
    reported_ms: int


class InstanceDirectory:
    """Records which instances reported recently, and whether they were ready.

    The store still lists instances that were killed, and gossip spreads that list.
    Therefore only messages from an instance itself are recorded here.

    :param own_address: address of this instance.
    """

    def __init__(self, own_address: MemberAddress) -> None:
        self._own_address = own_address
        self._reported: dict[str, _ReportedInstance] = {}

    def record_reported_instance(
        self, address: MemberAddress, ready: bool, now_ms: int
    ) -> None:
        """Record that an instance has sent a message.

        :param address: address of the instance.
        :param ready: whether it serves callers.
        :param now_ms: the current time.
        """
        previous = self._reported.get(address.instance)
        if previous is not None and previous.address.incarnation > address.incarnation:
            return
        self._reported[address.instance] = _ReportedInstance(address, ready, now_ms)

    def choose(
        self,
        query: DiscoveryQuery,
        own_ready: bool,
        excluded: Iterable[str],
        now_ms: int,
    ) -> list[MemberAddress]:
        """Return the instances for a caller, those of its failure domain first.

        :param query: the location of the caller.
        :param own_ready: whether this instance serves callers.
        :param excluded: instances that are suspected or leaving.
        :param now_ms: the current time.
        """
        excluded_names = set(excluded)
        ready = [
            reported.address
            for reported in self._reported.values()
            if reported.ready
            and now_ms - reported.reported_ms <= MAX_REPORT_AGE_MS
            and reported.address.instance not in excluded_names
        ]
        if own_ready:
            ready.append(self._own_address)
        in_domain = [
            address
            for address in ready
            if address.failure_domain == query.failure_domain
        ]
        if len(in_domain) >= MIN_DOMAIN_INSTANCES:
            return in_domain[:MAX_INSTANCES]
        return (in_domain + [other for other in ready if other not in in_domain])[
            :MAX_INSTANCES
        ]
