"""Tests of finding listed instances that do not come back."""

from __future__ import annotations

from savorychute.gateway.discovery.absent_instances import (
    ABSENT_REMOVAL_MS,
    AbsentInstances,
)


def test_replaced_instance_is_returned_once():
    """Guards against shares of a bound that shrink with each replaced instance."""
    instances = AbsentInstances()
    instances.find_long_absent({'k1'}, 0)

    assert (
        instances.find_long_absent({'k1', 'k2'}, ABSENT_REMOVAL_MS - 1) == frozenset()
    )
    assert instances.find_long_absent({'k1', 'k2'}, ABSENT_REMOVAL_MS) == {'k1'}
    assert (
        instances.find_long_absent({'k1', 'k2'}, ABSENT_REMOVAL_MS + 1) == frozenset()
    )


def test_instance_that_came_back_is_not_returned():
    instances = AbsentInstances()
    instances.find_long_absent({'k1'}, 0)
    instances.find_long_absent(set(), 1)

    assert instances.find_long_absent({'k1'}, ABSENT_REMOVAL_MS) == frozenset()
