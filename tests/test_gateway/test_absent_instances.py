"""Tests of instances that are listed and do not come back."""

from __future__ import annotations

from savorychute.gateway.discovery.absent_instances import LASTING_MS, AbsentInstances


def test_instance_that_was_replaced_is_told_once():
    """Guards against parts of a bound that shrink with each replaced instance."""
    absent = AbsentInstances()
    absent.find_lasting({'k1'}, 0)

    assert absent.find_lasting({'k1', 'k2'}, LASTING_MS - 1) == frozenset()
    assert absent.find_lasting({'k1', 'k2'}, LASTING_MS) == {'k1'}
    assert absent.find_lasting({'k1', 'k2'}, LASTING_MS + 1) == frozenset()


def test_instance_that_came_back_meanwhile_stays():
    absent = AbsentInstances()
    absent.find_lasting({'k1'}, 0)
    absent.find_lasting(set(), 1)

    assert absent.find_lasting({'k1'}, LASTING_MS) == frozenset()
