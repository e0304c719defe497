"""The instances that callers are told to use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.discovery.discovery_question import DiscoveryQuestion
    from savorychute.member_address import MemberAddress

# An instance that has been silent this long is left out.  Members probe each other
# at least once in two seconds while there are few; a caller keeps an answer for
# seconds, so it must not begin with one that is gone.
HEARD_MS = 4_000
# With fewer in the caller's own failure domain those of others are told as well, so
# that the loss of one leaves the caller another.
FEW = 2
MOST = 16


class _Heard(NamedTuple):
    address: MemberAddress
    ready: bool
    heard_ms: int


class InstanceDirectory:
    """Remembers which instances spoke lately, and whether they were ready.

    The store still lists instances that were killed, and gossip repeats the list;
    only an instance's own word counts here.

    :param own: this instance.
    """

    def __init__(self, own: MemberAddress) -> None:
        self._own = own
        self._heard: dict[str, _Heard] = {}

    def hear(self, address: MemberAddress, ready: bool, now_ms: int) -> None:
        """Take in a sign of life.

        :param address: who spoke.
        :param ready: whether it takes callers.
        :param now_ms: the time.
        """
        known = self._heard.get(address.instance)
        if known is not None and known.address.incarnation > address.incarnation:
            return
        self._heard[address.instance] = _Heard(address, ready, now_ms)

    def choose(
        self,
        question: DiscoveryQuestion,
        own_ready: bool,
        suspects: Iterable[str],
        now_ms: int,
    ) -> list[MemberAddress]:
        """Return the instances for a caller, those of its failure domain first.

        :param question: where the caller is.
        :param own_ready: whether this instance takes callers.
        :param suspects: those that do not answer others.
        :param now_ms: the time.
        """
        left_out = set(suspects)
        ready = [
            each.address
            for each in self._heard.values()
            if each.ready
            and now_ms - each.heard_ms <= HEARD_MS
            and each.address.instance not in left_out
        ]
        if own_ready:
            ready.append(self._own)
        near = [e for e in ready if e.failure_domain == question.failure_domain]
        if len(near) >= FEW:
            return near[:MOST]
        return (near + [each for each in ready if each not in near])[:MOST]
