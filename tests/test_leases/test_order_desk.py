"""Orders go out under a lease only, and late ones are put right."""

from __future__ import annotations

import pytest

from benches.configuration_rig import make_endpoint
from savorychute.actions.send_order import SendOrder
from savorychute.inputs.load_reported import LoadReported
from savorychute.inputs.order_finished import OrderFinished
from savorychute.leases.order_desk import OrderDesk
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
    return candidates.keepers[candidates.holders()[0]]


@pytest.fixture
def desk(candidates, holder):
    desk = OrderDesk(candidates.settings, holder)
    desk.set_endpoints({'e': {**make_endpoint('e'), 'checks_fencing': False}})
    return desk


def test_order_carries_the_fencing_number_and_the_end_of_the_lease(
    candidates, holder, desk
):
    desk.report(make_report(['small']), candidates.now_ms)
    (order,) = desk.request_order(make_request(), candidates.now_ms)
    assert isinstance(order, SendOrder)
    assert order.fencing == holder.holds('placement', candidates.now_ms)
    assert order.expected_state == 'small'
    assert candidates.now_ms < order.send_before_ms
    assert order.send_before_ms < candidates.now_ms + candidates.settings.duration_ms


def test_holder_that_was_paused_sends_nothing(candidates, holder, desk):
    """The holder is suspended between its decision and the order."""
    (result,) = desk.request_order(make_request(), candidates.now_ms + 20_000)
    assert result.outcome == 'not-held'


def test_fenced_answer_ends_the_lease(candidates, holder, desk):
    (order,) = desk.request_order(make_request(), candidates.now_ms)
    desk.order_finished(OrderFinished(order.order_id, 'e', 'fenced'), candidates.now_ms)
    assert holder.holds('placement', candidates.now_ms) is None
    assert holder.take_changes()[-1].change == 'surrendered'


def test_late_old_order_is_seen_counted_and_put_right(candidates, desk):
    """An earlier holder's 'unload' reaches the engine after our 'load'.

    The engine does not check fencing numbers, so it obeys.  The next report
    lacks the model that our order has loaded.
    """
    (order,) = desk.request_order(make_request(), candidates.now_ms)
    now_ms = candidates.now_ms
    desk.order_finished(OrderFinished(order.order_id, 'e', 'done'), now_ms)
    assert desk.report(make_report(['large']), now_ms + 100) == []
    (again,) = desk.report(make_report([]), now_ms + 200)
    assert (again.verb, again.target) == (LOAD, 'large')
    assert desk.late_orders_by_endpoint == {'e': 1}
    assert desk.report(make_report([]), now_ms + 300) == []
    (result,) = desk.order_finished(
        OrderFinished(again.order_id, 'e', 'done'), now_ms + 400
    )
    assert result.late


def test_report_from_before_the_answer_proves_nothing(candidates, desk):
    """Load reports lag: one from before the order still shows the old models."""
    (order,) = desk.request_order(make_request(), candidates.now_ms)
    now_ms = candidates.now_ms
    desk.order_finished(OrderFinished(order.order_id, 'e', 'done'), now_ms)
    assert desk.report(make_report([], age_ms=500), now_ms + 300) == []
    assert desk.late_orders_by_endpoint == {}


def test_order_without_an_answer_is_read_back(candidates, desk):
    (order,) = desk.request_order(make_request(verb=UNLOAD), candidates.now_ms)
    now_ms = candidates.now_ms + 30_000
    candidates.run(30_000)
    (result,) = desk.tick(now_ms)
    assert (result.order_id, result.outcome) == (order.order_id, 'unknown')
    (again,) = desk.report(make_report(['large']), now_ms + 10)
    assert again.verb == UNLOAD
    assert desk.late_orders_by_endpoint == {}


def test_own_old_order_that_is_fenced_leaves_the_new_lease_alone(
    candidates, holder, desk
):
    """The holder lapses with an order under way, and gets the lease again.

    Its new order overtakes the old one, which the endpoint then refuses.  Were
    that taken for a rival, the lease would be given up each time.
    """
    (order,) = desk.request_order(make_request(), candidates.now_ms)
    candidates.log.is_up = False
    candidates.run(20_000)
    candidates.log.is_up = True
    for name, keeper in candidates.keepers.items():
        if keeper is not holder:
            candidates.paused.add(name)
    candidates.run(10_000)
    fencing = holder.holds('placement', candidates.now_ms)
    assert fencing > order.fencing
    desk.order_finished(OrderFinished(order.order_id, 'e', 'fenced'), candidates.now_ms)
    assert holder.holds('placement', candidates.now_ms) == fencing


def test_change_that_nobody_here_ordered_is_counted(candidates, desk):
    """An earlier holder's order about another model arrives after its lease."""
    desk.tick(candidates.now_ms)
    desk.report(make_report(['small']), candidates.now_ms + 1)
    desk.request_order(make_request(), candidates.now_ms + 2)
    desk.report(make_report(['small', 'large']), candidates.now_ms + 3)
    assert desk.unexplained_by_endpoint['e'] == 0
    desk.report(make_report(['large']), candidates.now_ms + 4)
    assert desk.unexplained_by_endpoint['e'] == 1


def test_load_that_does_not_show_yet_is_repeated_with_patience(candidates, desk):
    """The engine says 'done' when it begins to load, which takes a while.

    Each report until then lacks the model.  Taken for the work of a late old
    order, the first of them would have the load sent and counted once more.
    """
    desk.request_order(make_request(), candidates.now_ms)
    desk.order_finished(OrderFinished('o1', 'e', 'done'), candidates.now_ms)
    sent_ms = candidates.now_ms
    candidates.run(30_000)
    assert desk.report(make_report([]), sent_ms + 29_000) == []
    (again,) = desk.report(make_report([]), sent_ms + 30_000)
    assert (again.verb, again.target) == (LOAD, 'large')
    assert desk.late_orders_by_endpoint == {}
