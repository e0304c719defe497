"""Tries all orders of events of a bounded scene."""

from __future__ import annotations

import copyreg
import hashlib
import io
import pickle
from functools import partial
from typing import NamedTuple

NAMES: dict[object, int] = {}
CONSTANTS: dict[int, object] = {}
"""Objects that no event changes; states refer to them by number."""

FAULTS = {'lose', 'repeat', 'crash', 'pause', 'unsee', 'submit', 'restart', 'suspect'}


class Exploration(NamedTuple):
    """How much was tried."""

    states: int
    transitions: int
    ends: int


def explore(world) -> Exploration:
    """Visit every state that can be reached from *world*, each once.

    A failed check is raised with the events that led there.
    """
    seen = set()
    stack = [(freeze(world), ())]
    transitions = 0
    ends = 0
    while stack:
        data, path = stack.pop()
        here = pickle.loads(data)
        events = here.events()
        if not any(event.kind not in FAULTS for event in events):
            ends += 1
            verify(here.check_end, path)
        for event in events:
            transitions += 1
            after = pickle.loads(data)
            way = (*path, event)
            verify(partial(after.apply, event), way)
            verify(after.check, way)
            frozen = freeze(after)
            mark = hashlib.blake2b(frozen, digest_size=12).digest()
            if mark not in seen:
                seen.add(mark)
                stack.append((frozen, way))
    return Exploration(len(seen), transitions, ends)


def verify(check, path) -> None:
    """Run *check*; on failure say what happened before."""
    try:
        check()
    except AssertionError as failure:
        story = ', '.join(f'{kind} {target}'.strip() for kind, target in path)
        raise AssertionError(f'{failure} after: {story}') from failure


def freeze(world) -> bytes:
    """Return the world's state as bytes."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, pickle.HIGHEST_PROTOCOL)
    pickler.dispatch_table = copyreg.dispatch_table | dict.fromkeys(
        world.constant_types, name_constant
    )
    pickler.dump(world)
    return buffer.getvalue()


def name_constant(thing):
    """Reduce a constant to its name."""
    name = NAMES.setdefault(thing, len(NAMES))
    CONSTANTS[name] = thing
    return find_constant, (name,)


def find_constant(name: int):
    """Return the constant with that number."""
    return CONSTANTS[name]
