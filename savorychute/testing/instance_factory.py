"""What makes the instances of a virtual run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from random import Random

    from savorychute.instance import Instance
    from savorychute.member_address import MemberAddress


class InstanceFactory(Protocol):
    """Makes an instance to be driven."""

    def __call__(
        self, address: MemberAddress, rng: Random, epoch_offset_ms: int
    ) -> Instance:
        """Return an instance that was just started.

        :param epoch_offset_ms: what to add to its clock for the time of day.
        """
        ...
