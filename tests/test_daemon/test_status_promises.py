"""Tests of what the status of an instance's refusal promises to its caller."""

from __future__ import annotations

import pytest
from daemon_fakes import TOKEN, call, run_forwarding

from savorychute.actions import FinishResponse, RefuseRequest
from savorychute.inputs import CallerRequest
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.testing.virtual_loop import run_virtual

HEADERS = {'authorization': f'Bearer {TOKEN}', 'x-request-class': 'diagnosis'}
NOT_RUN_STATUSES = (408, 421, 429, 503)
CODES = [code for code in ResultCode if code.status in NOT_RUN_STATUSES]


def get_response(make_end):
    """Return the response to a request that ends as *make_end* states by its id."""

    async def main():
        async with (
            run_forwarding() as (host, instance),
            call(host.address.caller_port) as caller,
        ):

            def deliver(new_input, now_ms):
                if isinstance(new_input, CallerRequest):
                    return [make_end(new_input.request_id)]
                return []

            instance.deliver = deliver
            caller.write_request('POST', '/v1/services/desk/x', HEADERS, b'{}')
            return await caller.read_response()

    return run_virtual(main())


@pytest.mark.parametrize('ran', [Ran.UNKNOWN, Ran.RAN])
@pytest.mark.parametrize('code', CODES, ids=lambda code: code.name)
def test_status_makes_no_promise_about_a_request_that_may_have_run(code, ran):
    """Guards against callers that go by the status and send a request again."""
    refused = get_response(lambda request_id: RefuseRequest(request_id, code, ran, ''))
    ended = get_response(lambda request_id: FinishResponse(request_id, code, ran, ''))

    for response in (refused, ended):
        assert response.status == 502
        assert response.headers['x-result-code'] == str(code.number)
        assert response.headers['x-ran'] == ran


@pytest.mark.parametrize('code', CODES, ids=lambda code: code.name)
def test_status_promises_that_a_request_did_not_run(code):
    """Guards against a true promise that is withheld from callers."""
    ran = Ran.NOT_RUN
    refused = get_response(lambda request_id: RefuseRequest(request_id, code, ran, ''))

    assert refused.status == code.status
