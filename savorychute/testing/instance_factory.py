"""The interface that creates the instances of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from random import Random

    from savorychute.instance import Instance
    from savorychute.member_address import MemberAddress


class InstanceFactory(Protocol):
    """Creates an instance."""

    def __call__(
        self, address: MemberAddress, rng: Random, epoch_offset_ms: int
    ) -> Instance:
        """Return a new instance.

        :param epoch_offset_ms: the offset from its clock to the Unix time.
        """
        ...
