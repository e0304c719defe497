"""Orders are sent only under a lease, and effects of late orders are corrected."""

from __future__ import annotations

import pytest

from benches.configuration_rig import make_endpoint
from savorychute.actions.send_order import SendOrder
from savorychute.inputs.load_reported import LoadReported
from savorychute.inputs.order_finished import OrderFinished
from savorychute.leases.order_handler import OrderHandler
from savorychute.leases.order_request import LOAD, UNLOAD, OrderRequest


def make_report(models, age_ms=0):
    return LoadReported(
        'e', age_ms, 0, 0, 1.0, 5.0, tuple(models), 'ready', 0, (), (), False
    )


def make_request(order_id='o1', verb=LOAD, target='large'):
    return OrderRequest(order_id, 'placement', 'e', verb, target, 'demand')


@pytest.fixture
def holder(candidates):
    candidates.run(10_000)
    return candidates.managers[candidates.holders()[0]]


@pytest.fixture
def handler(candidates, holder):
    handler = OrderHandler(candidates.settings, holder)
    handler.set_endpoints({'e': {**make_endpoint('e'), 'checks_fencing': False}})
    return handler


def test_order_carries_the_fencing_number_and_the_end_of_the_lease(
    candidates, holder, handler
):
    handler.handle_report(make_report(['small']), candidates.now_ms)
    (order,) = handler.request_order(make_request(), candidates.now_ms)
    assert isinstance(order, SendOrder)
    assert order.fencing == holder.holds('placement', candidates.now_ms)
    assert order.expected_state == 'small'
    assert candidates.now_ms < order.send_before_ms
    assert order.send_before_ms < candidates.now_ms + candidates.settings.duration_ms


def test_holder_that_was_paused_sends_nothing(candidates, holder, handler):
    """The holder is suspended between its decision and the order."""
    (result,) = handler.request_order(make_request(), candidates.now_ms + 20_000)
    assert result.outcome == 'not-held'


def test_fenced_response_ends_the_lease(candidates, holder, handler):
    (order,) = handler.request_order(make_request(), candidates.now_ms)
    handler.order_finished(
        OrderFinished(order.order_id, 'e', 'fenced'), candidates.now_ms
    )
    assert holder.holds('placement', candidates.now_ms) is None
    assert holder.take_changes()[-1].change == 'surrendered'


def test_late_old_order_is_detected_counted_and_corrected(candidates, handler):
    """An earlier holder's 'unload' reaches the engine after this holder's 'load'.

    The engine does not check fencing numbers, so it unloads the model.  The next
    report lacks the model that this holder loaded.
    """
    (order,) = handler.request_order(make_request(), candidates.now_ms)
    now_ms = candidates.now_ms
    handler.order_finished(OrderFinished(order.order_id, 'e', 'done'), now_ms)
    assert handler.handle_report(make_report(['large']), now_ms + 100) == []
    (correction,) = handler.handle_report(make_report([]), now_ms + 200)
    assert (correction.verb, correction.target) == (LOAD, 'large')
    assert handler.late_orders_by_endpoint == {'e': 1}
    assert handler.handle_report(make_report([]), now_ms + 300) == []
    (result,) = handler.order_finished(
        OrderFinished(correction.order_id, 'e', 'done'), now_ms + 400
    )
    assert result.late


def test_report_from_before_the_response_is_ignored(candidates, handler):
    """Load reports lag: one from before the order still shows the old models."""
    (order,) = handler.request_order(make_request(), candidates.now_ms)
    now_ms = candidates.now_ms
    handler.order_finished(OrderFinished(order.order_id, 'e', 'done'), now_ms)
    assert handler.handle_report(make_report([], age_ms=500), now_ms + 300) == []
    assert handler.late_orders_by_endpoint == {}


def test_unanswered_order_is_sent_again_after_a_contradicting_report(
    candidates, handler
):
    (order,) = handler.request_order(make_request(verb=UNLOAD), candidates.now_ms)
    now_ms = candidates.now_ms + 30_000
    candidates.run(30_000)
    (result,) = handler.tick(now_ms)
    assert (result.order_id, result.outcome) == (order.order_id, 'unknown')
    (correction,) = handler.handle_report(make_report(['large']), now_ms + 10)
    assert correction.verb == UNLOAD
    assert handler.late_orders_by_endpoint == {}


def test_fenced_own_old_order_does_not_end_the_new_lease(candidates, holder, handler):
    """The holder's lease lapses with an order in flight, and it gets the lease again.

    Its new order overtakes the old one, which the endpoint then refuses.  If that
    were attributed to another holder, the lease would be surrendered each time.
    """
    (order,) = handler.request_order(make_request(), candidates.now_ms)
    candidates.log.is_up = False
    candidates.run(20_000)
    candidates.log.is_up = True
    for name, manager in candidates.managers.items():
        if manager is not holder:
            candidates.paused.add(name)
    candidates.run(10_000)
    fencing = holder.holds('placement', candidates.now_ms)
    assert fencing > order.fencing
    handler.order_finished(
        OrderFinished(order.order_id, 'e', 'fenced'), candidates.now_ms
    )
    assert holder.holds('placement', candidates.now_ms) == fencing


def test_change_without_an_order_is_counted(candidates, handler):
    """An earlier holder's order about another model arrives after its lease."""
    handler.tick(candidates.now_ms)
    handler.handle_report(make_report(['small']), candidates.now_ms + 1)
    handler.request_order(make_request(), candidates.now_ms + 2)
    handler.handle_report(make_report(['small', 'large']), candidates.now_ms + 3)
    assert handler.unexplained_by_endpoint['e'] == 0
    handler.handle_report(make_report(['large']), candidates.now_ms + 4)
    assert handler.unexplained_by_endpoint['e'] == 1


def test_load_that_is_not_yet_reported_is_resent_after_a_timeout(candidates, handler):
    """The engine responds 'done' when it starts to load, which takes a while.

    Each report until then lacks the model.  If that were attributed to a late old
    order, the first report would cause the load to be sent and counted again.
    """
    handler.request_order(make_request(), candidates.now_ms)
    handler.order_finished(OrderFinished('o1', 'e', 'done'), candidates.now_ms)
    sent_ms = candidates.now_ms
    candidates.run(30_000)
    assert handler.handle_report(make_report([]), sent_ms + 29_000) == []
    (correction,) = handler.handle_report(make_report([]), sent_ms + 30_000)
    assert (correction.verb, correction.target) == (LOAD, 'large')
    assert handler.late_orders_by_endpoint == {}
