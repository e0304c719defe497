"""Explores all orders of events of a bounded scenario."""

from __future__ import annotations

import copyreg
import hashlib
import io
import pickle
from functools import partial
from typing import NamedTuple

CONSTANT_NUMBERS: dict[object, int] = {}
CONSTANTS: dict[int, object] = {}
"""Objects that no event changes; pickled states refer to them by number."""

FAULTS = {'lose', 'repeat', 'crash', 'pause', 'unsee', 'submit', 'restart', 'suspect'}


class Exploration(NamedTuple):
    """The size of an exploration."""

    states: int
    transitions: int
    end_states: int


def explore(simulation) -> Exploration:
    """Visit each state that is reachable from *simulation* once.

    A failed check is raised with the events that led to it.
    """
    visited = set()
    stack = [(freeze(simulation), ())]
    transitions = 0
    end_states = 0
    while stack:
        frozen_state, trace = stack.pop()
        state = pickle.loads(frozen_state)
        events = state.events()
        if not any(event.kind not in FAULTS for event in events):
            end_states += 1
            verify(state.check_end, trace)
        for event in events:
            transitions += 1
            successor = pickle.loads(frozen_state)
            next_trace = (*trace, event)
            verify(partial(successor.apply, event), next_trace)
            verify(successor.check, next_trace)
            frozen_successor = freeze(successor)
            digest = hashlib.blake2b(frozen_successor, digest_size=12).digest()
            if digest not in visited:
                visited.add(digest)
                stack.append((frozen_successor, next_trace))
    return Exploration(len(visited), transitions, end_states)


def verify(check, trace) -> None:
    """Run *check*; on failure report the preceding events."""
    try:
        check()
    except AssertionError as failure:
        description = ', '.join(f'{kind} {target}'.strip() for kind, target in trace)
        raise AssertionError(f'{failure} after: {description}') from failure


def freeze(simulation) -> bytes:
    """Return the state of the simulation as bytes."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, pickle.HIGHEST_PROTOCOL)
    pickler.dispatch_table = copyreg.dispatch_table | dict.fromkeys(
        simulation.constant_types, reduce_constant
    )
    pickler.dump(simulation)
    return buffer.getvalue()


def reduce_constant(constant):
    """Reduce a constant to its number for pickling."""
    number = CONSTANT_NUMBERS.setdefault(constant, len(CONSTANT_NUMBERS))
    CONSTANTS[number] = constant
    return find_constant, (number,)


def find_constant(number: int):
    """Return the constant with the given number."""
    return CONSTANTS[number]
