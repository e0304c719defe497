"""Tests of the numbers of tokens that callers state."""

from __future__ import annotations

import math

import pytest
from fleet.caller_dialect import decode_request
from fleet.header_numbers import MAX_TOKENS

from savorychute.gateway.dispatch.engine_model import EngineModel
from savorychute.gateway.dispatch.partition_demand import PartitionDemand
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.http.http_request import HttpRequest

REQUESTS = 100


def decode_prompt(token_count, parts='a:1,b:2'):
    headers = (('token-count', token_count), ('prefix-hash', parts))
    return decode_request(HttpRequest('POST', '/a/', headers, b'')).prompt


@pytest.mark.parametrize('digits', [30, 308, 400])
@pytest.mark.parametrize('form', ['{},80', '1460,{}'])
def test_numbers_beyond_all_bounds_leave_the_demand_finite(digits, form):
    """Guards against a caller whose numbers no instance can calculate with."""
    prompt = decode_prompt(form.format('9' * digits))
    demand = PartitionDemand()

    for number in range(REQUESTS):
        demand.record_request(RequestRequirements(prompt), number, EngineModel())

    assert 0 < demand.advertised(REQUESTS) < math.inf


@pytest.mark.parametrize(
    ('stated', 'counted'),
    [('0', 0), ('1460', 1460), (f'{MAX_TOKENS}', MAX_TOKENS), ('-5', 0)],
)
def test_numbers_of_tokens_are_read_as_stated_within_bounds(stated, counted):
    prompt = decode_prompt(f'{stated},{stated}', f'a:{stated}')

    assert (prompt.tokens, prompt.answer_tokens) == (counted, counted)
    assert prompt.parts[0].tokens == counted
