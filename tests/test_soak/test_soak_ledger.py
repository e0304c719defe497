"""What the ledger of the soak takes for a violation."""

from __future__ import annotations

import asyncio

import pytest

from benches.gateway_soak.ledger import Ledger, SentAttempt

ATTEMPT = 'c1-1'
OTHER_ATTEMPT = 'c2-1'
BODY = b'ran c1-1'


@pytest.fixture
def ledger():
    ledger = Ledger()
    for attempt in (ATTEMPT, OTHER_ATTEMPT):
        ledger.sent[attempt] = SentAttempt(attempt, 'once', attempt.encode(), 1, 0.0)
    return ledger


def check(ledger, record, **options):
    """Return the rules that the ledger finds violated after *record* was called."""

    async def main():
        record()
        return ledger.check(**options)

    return [line.partition(' ')[0] for line in asyncio.run(main())]


def record_run(ledger, attempt=ATTEMPT, endpoint='i-1'):
    ledger.record_execution(attempt, endpoint, has_caller_key=False)


@pytest.mark.parametrize('status', [408, 421, 429, 503])
@pytest.mark.parametrize('runs_later', [False, True])
def test_refused_request_that_ran_is_a_violation(status, runs_later, ledger):
    """Guards against missing a run before a refusal, or after it."""

    def record():
        if not runs_later:
            record_run(ledger)
        ledger.record_status(ATTEMPT, status)
        if runs_later:
            record_run(ledger)

    assert check(ledger, record) == ['REFUSED']


def test_request_that_ran_at_two_endpoints_is_a_violation(ledger):
    """Guards against missing a second run."""

    def record():
        record_run(ledger)
        record_run(ledger, endpoint='i-2')
        ledger.record_status(ATTEMPT, 502)

    assert check(ledger, record) == ['TWICE']


@pytest.mark.parametrize(
    'status, proven_attempt, proven_status, body',
    [
        (200, OTHER_ATTEMPT, 200, BODY),
        (200, ATTEMPT, 503, BODY),
        (502, ATTEMPT, 503, b''),
        (200, ATTEMPT, 200, b'ran c2-1'),
    ],
)
def test_response_of_another_request_is_a_violation(
    status, proven_attempt, proven_status, body, ledger
):
    """Guards against missing a response or a proof that was made for another one."""

    def record():
        proof = ledger.make_proof('i-1', proven_attempt, proven_status)
        headers = {'server-signature': proof}
        ledger.record_response(ATTEMPT, status, headers, body)

    assert check(ledger, record) == ['MIXED']


def test_response_that_names_another_request_is_a_violation(ledger):
    """Guards against missing a failure that was sent for another request."""

    def record():
        headers = {'attempt-id': OTHER_ATTEMPT}
        ledger.record_response(ATTEMPT, 502, headers, b'')

    assert check(ledger, record) == ['MIXED']


def test_success_without_a_proof_is_a_violation(ledger):
    """Guards against missing a success that no endpoint proves."""

    def record():
        ledger.record_response(ATTEMPT, 200, {}, BODY)

    assert check(ledger, record) == ['MIXED']


@pytest.mark.parametrize('is_planned', [False, True])
def test_run_without_a_response_is_a_violation_in_planned_work(is_planned, ledger):
    """Guards against missing a response that was lost by a stop or a reload."""

    def record():
        record_run(ledger)
        ledger.record_unanswered(ATTEMPT)

    expected = ['LOST'] if is_planned else []
    assert check(ledger, record, is_planned=is_planned) == expected


def test_response_to_its_own_request_is_no_violation(ledger):
    """Guards against violations where everything was right."""

    def record():
        record_run(ledger)
        proof = ledger.make_proof('i-1', ATTEMPT, 200)
        headers = {'attempt-id': ATTEMPT, 'server-signature': proof}
        ledger.record_response(ATTEMPT, 200, headers, BODY)

    assert check(ledger, record) == []
