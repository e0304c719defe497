"""Orders whose sender compares reports with a plan of its own."""

from __future__ import annotations

import pytest

from benches.configuration_rig import make_endpoint
from savorychute.inputs.load_reported import LoadReported
from savorychute.inputs.order_finished import OrderFinished
from savorychute.leases.order_desk import OrderDesk
from savorychute.leases.order_request import LOAD, OrderRequest


def make_report(models):
    return LoadReported(
        'e', 0, 0, 0, 1.0, 5.0, tuple(models), 'active', 0, (), (), False
    )


@pytest.fixture
def desk(candidates):
    candidates.run(10_000)
    holder = candidates.keepers[candidates.holders()[0]]
    desk = OrderDesk(candidates.settings, holder)
    desk.set_endpoints({'e': make_endpoint('e')})
    request = OrderRequest('o1', 'placement', 'e', LOAD, 'large', 'demand', False)
    desk.request_order(request, candidates.now_ms)
    desk.order_finished(OrderFinished('o1', 'e', 'done'), candidates.now_ms)
    return desk


def test_load_that_takes_its_time_is_not_sent_again(candidates, desk):
    """A load takes minutes; each report until then lacks the model.

    Taken for the work of a late old order, every one of these reports sent the
    load again and was counted as late.
    """
    for wait_ms in range(500, 60_000, 500):
        assert desk.report(make_report([]), candidates.now_ms + wait_ms) == []
    assert desk.late_orders_by_endpoint == {}


def test_load_that_vanishes_is_counted_once_and_left_to_the_plan(candidates, desk):
    desk.report(make_report(['large']), candidates.now_ms + 500)
    assert desk.report(make_report([]), candidates.now_ms + 1_000) == []
    assert desk.report(make_report([]), candidates.now_ms + 1_500) == []
    assert desk.late_orders_by_endpoint == {'e': 1}
