"""The registry of roles, filled by the other modules of this package."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from benches.capacity_roles.role_sample import RoleSample


class Role(NamedTuple):
    """A control task of an instance.

    ``mechanism`` describes how the role works at the target size, ``breaks``
    what reaches its limit first beyond it.  ``sizes`` are the numbers of
    instances to measure.  Only ``summed`` roles count for the sum of an instance.
    """

    name: str
    measure: Callable[[int], RoleSample]
    mechanism: str
    breaks: str
    sizes: tuple[int, ...]
    summed: bool = True


ROLES: dict[str, Role] = {}


def role(
    name: str,
    mechanism: str,
    breaks: str,
    sizes: tuple[int, ...],
    summed: bool = True,
) -> Callable[[Callable[[int], RoleSample]], Callable[[int], RoleSample]]:
    """Return a decorator that registers a measurement.

    :param name: the name of the role on the page.
    :param mechanism: how it works at the target size.
    :param breaks: what reaches its limit first beyond the target.
    :param sizes: numbers of instances to measure.
    :param summed: whether it counts for the sum of an instance.
    """

    def register(
        measure: Callable[[int], RoleSample],
    ) -> Callable[[int], RoleSample]:
        ROLES[name] = Role(name, measure, mechanism, breaks, sizes, summed)
        return measure

    return register
