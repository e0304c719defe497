"""The engine at which a moved stream goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# A copy between failure domains takes twice as long.
DISTANCE_FACTOR = 2


class Target(NamedTuple):
    """An engine that may take a stream over.

    ``free_slots`` and ``free_tokens`` are what it reported, without what this instance
    has sent there since; ``free_tokens`` is None if it does not report its memory.
    ``is_near`` is true within the failure domain of the engine that leaves.
    """

    run: EndpointRun
    free_slots: float
    free_tokens: int | None
    is_near: bool


def has_room(target: Target, tokens: int) -> bool:
    """Return whether an engine has a slot and memory for a stream.

    :param target: the engine.
    :param tokens: the tokens that the stream will have in memory.
    """
    has_memory = target.free_tokens is None or target.free_tokens >= tokens
    return target.free_slots >= 1 and has_memory


def choose_target(
    targets: Sequence[Target], tokens: int, rng: random.Random
) -> Target | None:
    """Return an engine with room, or None.

    The choice is random, weighted by free slots: all instances see the same reports, and
    if each chose the best engine, that one would be full at once.

    :param targets: the engines to choose from.
    :param tokens: the tokens that the stream will have in memory.
    :param rng: the random numbers of the instance.
    """
    suitable = [each for each in targets if has_room(each, tokens)]
    if not suitable:
        return None
    weights = [
        each.free_slots * (DISTANCE_FACTOR if each.is_near else 1) for each in suitable
    ]
    return rng.choices(suitable, weights)[0]
