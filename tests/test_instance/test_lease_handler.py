"""Tests of the lease that permits an instance to order its engines."""

from __future__ import annotations

import msgspec
import pytest

from savorychute.actions import OperatorReply, SendOrder
from savorychute.inputs import LoadReported, OperatorCommand, ShutdownRequested
from savorychute.instance.lease_handler import LeaseHandler
from savorychute.leases.order_request import LOAD, OrderRequest
from savorychute.testing.solo import OPERATOR_TOKEN, Solo, make_contract, make_engine

LEASE = 'placement:north'
LEASE_ACQUIRED_MS = 40_000


@pytest.fixture
def solo():
    host = Solo(contracts=[make_contract()], endpoints=[make_engine('engine-1')])
    host.run_for(LEASE_ACQUIRED_MS)
    return host


def read_audit(solo, item):
    body = msgspec.json.encode({'item': item})
    solo.deliver(OperatorCommand('c1', OPERATOR_TOKEN, 'audit', body))
    solo.run_for(1_000)
    reply = solo.find(OperatorReply)[-1]
    return msgspec.json.decode(reply.document)['entries']


def test_single_instance_holds_the_lease_of_its_region(solo):
    entries = read_audit(solo, f'lease:{LEASE}')

    assert entries[0]['to_version'].startswith('acquired')


def test_order_has_the_offset_of_the_claim_as_fencing_number(solo):
    handler = LeaseHandler(solo.instance._parts)
    request = OrderRequest('o1', LEASE, 'engine-1', LOAD, 'small', 'test')

    actions = handler.request_order(request, solo.now_ms)

    assert isinstance(actions[0], SendOrder)
    assert actions[0].fencing == solo.instance._parts.leases.holds(LEASE, solo.now_ms)


def test_instance_releases_its_lease_on_shutdown(solo):
    """Guards against a period without orders until the lease expires.

    The holder shuts down gracefully.  It must release the lease, so that the
    next holder does not wait for the whole duration of the lease.
    """
    solo.deliver(ShutdownRequested())
    solo.run_for(1_000)

    entries = read_audit(solo, f'lease:{LEASE}')
    assert entries[-1]['to_version'].startswith('released')


def test_late_load_report_sends_no_order(solo):
    report = LoadReported(
        'engine-1', 100, 0, 0, 1.0, 5.0, ('small',), 'active', 0, (), (), False
    )
    actions = solo.deliver(report)

    assert not [action for action in actions if isinstance(action, SendOrder)]
