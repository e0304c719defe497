"""Orders that are not sent again, as their sender compares reports with a plan."""

from __future__ import annotations

import pytest

from benches.configuration_rig import make_endpoint
from savorychute.inputs.load_reported import LoadReported
from savorychute.inputs.order_finished import OrderFinished
from savorychute.leases.order_handler import OrderHandler
from savorychute.leases.order_request import LOAD, OrderRequest


def make_report(models):
    return LoadReported(
        'e', 0, 0, 0, 1.0, 5.0, tuple(models), 'active', 0, (), (), False
    )


@pytest.fixture
def handler(candidates):
    candidates.run(10_000)
    holder = candidates.managers[candidates.holders()[0]]
    handler = OrderHandler(candidates.settings, holder)
    handler.set_endpoints({'e': make_endpoint('e')})
    request = OrderRequest('o1', 'placement', 'e', LOAD, 'large', 'demand', False)
    handler.request_order(request, candidates.now_ms)
    handler.order_finished(OrderFinished('o1', 'e', 'done'), candidates.now_ms)
    return handler


def test_slow_load_is_not_sent_again(candidates, handler):
    """A load takes minutes; each report until then lacks the model.

    When that was attributed to a late old order, every one of these reports
    caused the load to be sent again and to be counted as late.
    """
    for wait_ms in range(500, 60_000, 500):
        assert handler.handle_report(make_report([]), candidates.now_ms + wait_ms) == []
    assert handler.late_orders_by_endpoint == {}


def test_vanished_load_is_counted_once_and_not_resent(candidates, handler):
    handler.handle_report(make_report(['large']), candidates.now_ms + 500)
    assert handler.handle_report(make_report([]), candidates.now_ms + 1_000) == []
    assert handler.handle_report(make_report([]), candidates.now_ms + 1_500) == []
    assert handler.late_orders_by_endpoint == {'e': 1}
