"""The demand of a simulation: calls, their times and their contents."""

from __future__ import annotations

import math
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec

from savorychute.testing.answers import (
    CHARS_PER_TOKEN,
    POISON_MARKER,
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
    from savorychute.testing.simulation import Simulation

MS_PER_S = 1_000.0
FILLER = 'the pump at the well lost its pressure and the crew waits for a part; '


class Workload:
    """Generates calls at random times, with a variable rate.

    :param simulation: receives the calls.
    :param rng: decides on times, classes, organisations and lengths.
    """

    def __init__(self, simulation: Simulation, rng: Random) -> None:
        self._simulation = simulation
        self._rng = rng
        self._last_number = 0
        topology = simulation.topology
        self._organisations = [
            organisation.name for organisation in topology.organisations
        ]
        self._cumulative_shares = list(
            accumulate(organisation.share for organisation in topology.organisations)
        )

    def run_class(
        self,
        call_class: CallClass,
        start_ms: float,
        end_ms: float,
        rate_per_s: Callable[[float], float],
    ) -> None:
        """Schedule the calls of a class as a Poisson process.

        :param rate_per_s: returns the rate at a time.
        """
        at_ms = start_ms
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
        """Schedule one call."""
        call = self.make_call(call_class, organisation)
        self._simulation.heap.call_at(at_ms, self._simulation.callers.start, call)
        return call

    def make_call(
        self, call_class: CallClass, organisation: str = '', poison: bool = False
    ) -> Call:
        """Return a new call without starting it."""
        self._last_number += 1
        call_id = f'c{self._last_number}'
        organisation = organisation or self._pick_organisation()
        if call_class.service:
            return _make_service_call(call_id, organisation, call_class)
        length_tokens = self._pick_length(call_class)
        prompt = _write_prompt(call_id, organisation, call_class, length_tokens, poison)
        return make_chat_call(
            call_id, organisation, call_class, prompt, self._simulation.max_tokens
        )

    def _pick_organisation(self) -> str:
        point = self._rng.random() * self._cumulative_shares[-1]
        for name, cumulative_share in zip(
            self._organisations, self._cumulative_shares, strict=True
        ):
            if point < cumulative_share:
                return name
        return self._organisations[-1]

    def _pick_length(self, call_class: CallClass) -> int:
        mean_log_tokens = math.log(call_class.output_tokens)
        length_tokens = self._rng.lognormvariate(mean_log_tokens, call_class.spread)
        return max(1, min(int(length_tokens), self._simulation.max_tokens))


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
    """Return a prompt that starts with text shared by the organisation's class."""
    shared_chars = call_class.shared_prompt_tokens * CHARS_PER_TOKEN
    own_chars = call_class.prompt_tokens * CHARS_PER_TOKEN - shared_chars
    shared = _pad_text(f'{organisation} {call_class.name}: ', shared_chars)
    own = _pad_text(f'{write_marker(call_id)} #tokens={tokens} ', own_chars)
    return f'{shared}{own}{POISON_MARKER if poison else ""}'


def _pad_text(text: str, chars: int) -> str:
    missing_chars = max(0, chars - len(text))
    return text + (FILLER * (missing_chars // len(FILLER) + 1))[:missing_chars]
