"""Demand of a virtual run: who calls when, and for what."""

from __future__ import annotations

import math
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec

from savorychute.testing.answers import (
    CHARS_PER_TOKEN,
    POISON_MARK,
    count_answer_tokens,
    write_answer,
)
from savorychute.testing.call import Call
from savorychute.testing.markers import write_marker
from savorychute.testing.plain_service import ServiceRequest, write_service_answer

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from savorychute.testing.call import CallClass
    from savorychute.testing.world import World

MS_PER_S = 1_000.0
FILLER = 'the pump at the well lost its pressure and the crew waits for a part; '


class Workload:
    """Calls at random times, at a rate that may change.

    :param world: gets the calls.
    :param rng: decides times, classes, organisations and lengths.
    """

    def __init__(self, world: World, rng: Random) -> None:
        self._world = world
        self._rng = rng
        self._numbered = 0
        topology = world.topology
        self._organisations = [
            organisation.name for organisation in topology.organisations
        ]
        self._organisation_steps = list(
            accumulate(organisation.share for organisation in topology.organisations)
        )

    def run_class(
        self,
        call_class: CallClass,
        begin_ms: float,
        end_ms: float,
        rate_per_s: Callable[[float], float],
    ) -> None:
        """Plan the calls of a class as a Poisson process.

        :param rate_per_s: the rate at a time.
        """
        at_ms = begin_ms
        while True:
            rate = rate_per_s(at_ms)
            if rate <= 0:
                at_ms += MS_PER_S
            else:
                at_ms += self._rng.expovariate(rate) * MS_PER_S
            if at_ms >= end_ms:
                return
            if rate > 0:
                self.call_at(at_ms, call_class)

    def call_at(
        self, at_ms: float, call_class: CallClass, organisation: str = ''
    ) -> Call:
        """Plan one call."""
        call = self.make_call(call_class, organisation)
        self._world.heap.call_at(at_ms, self._world.callers.begin, call)
        return call

    def make_call(
        self, call_class: CallClass, organisation: str = '', poison: bool = False
    ) -> Call:
        """Return a call that was not made yet."""
        self._numbered += 1
        call_id = f'c{self._numbered}'
        organisation = organisation or self._pick_organisation()
        if call_class.service:
            return _make_service_call(call_id, organisation, call_class)
        length_tokens = self._pick_length(call_class)
        prompt = _write_prompt(call_id, organisation, call_class, length_tokens, poison)
        return make_chat_call(
            call_id, organisation, call_class, prompt, self._world.max_tokens
        )

    def _pick_organisation(self) -> str:
        point = self._rng.random() * self._organisation_steps[-1]
        for name, step in zip(
            self._organisations, self._organisation_steps, strict=True
        ):
            if point < step:
                return name
        return self._organisations[-1]

    def _pick_length(self, call_class: CallClass) -> int:
        mean = math.log(call_class.output_tokens)
        length = self._rng.lognormvariate(mean, call_class.spread)
        return max(1, min(int(length), self._world.max_tokens))


def make_chat_call(
    call_id: str, organisation: str, call_class: CallClass, prompt: str, max_tokens: int
) -> Call:
    """Return a call to a model."""
    document = {
        'model': 'model',
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': call_class.stream,
        'max_tokens': max_tokens,
    }
    body = msgspec.json.encode(document)
    answer = write_answer(prompt, max_tokens).encode()
    tokens = count_answer_tokens(prompt, max_tokens)
    return Call(call_id, organisation, call_class, body, answer, tokens, prompt)


def _make_service_call(call_id: str, organisation: str, call_class: CallClass) -> Call:
    body = msgspec.json.encode({'entry': write_marker(call_id)})
    request = ServiceRequest('', 'POST', f'/{call_class.name}', body)
    answer = write_service_answer(request)
    return Call(call_id, organisation, call_class, body, answer, 0)


def _write_prompt(
    call_id: str, organisation: str, call_class: CallClass, tokens: int, poison: bool
) -> str:
    """Return a prompt whose beginning the organisation's class always has."""
    shared_chars = call_class.shared_prompt_tokens * CHARS_PER_TOKEN
    own_chars = call_class.prompt_tokens * CHARS_PER_TOKEN - shared_chars
    shared = _fill(f'{organisation} {call_class.name}: ', shared_chars)
    own = _fill(f'{write_marker(call_id)} #tokens={tokens} ', own_chars)
    return f'{shared}{own}{POISON_MARK if poison else ""}'


def _fill(text: str, chars: int) -> str:
    missing = max(0, chars - len(text))
    return text + (FILLER * (missing // len(FILLER) + 1))[:missing]
