"""Tests of the lease under which an instance orders engines about."""

from __future__ import annotations

import msgspec
import pytest

from savorychute.actions import OperatorReply, SendOrder
from savorychute.inputs import LoadReported, OperatorCommand, ShutdownRequested
from savorychute.instance.lease_desk import LeaseDesk
from savorychute.leases.order_request import LOAD, OrderRequest
from savorychute.testing.solo import OPERATOR_TOKEN, Solo, make_contract, make_engine

LEASE = 'placement:north'
CLAIMED_MS = 40_000


@pytest.fixture
def solo():
    driven = Solo(contracts=[make_contract()], endpoints=[make_engine('engine-1')])
    driven.run_for(CLAIMED_MS)
    return driven


def read_audit(solo, item):
    body = msgspec.json.encode({'item': item})
    solo.deliver(OperatorCommand('c1', OPERATOR_TOKEN, 'audit', body))
    solo.run_for(1_000)
    reply = solo.find(OperatorReply)[-1]
    return msgspec.json.decode(reply.document)['entries']


def test_lone_instance_holds_its_regions_lease(solo):
    entries = read_audit(solo, f'lease:{LEASE}')

    assert entries[0]['to_version'].startswith('acquired')


def test_order_carries_the_offset_of_the_claim(solo):
    desk = LeaseDesk(solo.instance._parts)
    request = OrderRequest('o1', LEASE, 'engine-1', LOAD, 'small', 'test')

    actions = desk.request_order(request, solo.now_ms)

    assert isinstance(actions[0], SendOrder)
    assert actions[0].fencing == solo.instance._parts.leases.holds(LEASE, solo.now_ms)


def test_leaving_instance_gives_its_lease_up(solo):
    """No engine could be ordered about until the lease has run out.

    The holder shuts down gracefully; it must release the lease, so that the
    next holder does not wait for its whole duration.
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
