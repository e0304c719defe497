"""Tests of the configuration version in force and of trust in keys."""

from __future__ import annotations

import pytest
from gateway_fakes import START_MS, make_deployment, make_gateway, make_route

from savorychute.gateway.configuration.organisation import Organisation
from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.configuration.route_table import RouteTable
from savorychute.result_code import ResultCode


def test_older_version_is_never_applied(gateway):
    """Guards against a configuration that goes back to an older version.

    A version is in force when a listing that started earlier returns the previous one.
    """
    configuration = gateway.parts.configuration
    assert configuration.apply(make_deployment(version=7))
    assert not configuration.apply(make_deployment(version=3))

    assert configuration.version == 7


def test_keys_are_refused_when_the_store_is_unavailable(gateway):
    """Guards against a revoked key that is still accepted.

    The store refuses this instance; meanwhile a key is revoked.  After the trust time
    no key may be accepted, since this instance does not know which ones were revoked.
    """
    gateway.advance(4_500)
    assert gateway.admit().rank == 8
    gateway.advance(1)

    verdict = gateway.admit()

    assert verdict.code is ResultCode.NOT_READY
    assert gateway.admit('/open/1', key='').rank == 8


@pytest.mark.parametrize(
    ('path', 'key', 'code'),
    [
        ('/absent/1', 'kochi-key', ResultCode.NOT_FOUND),
        ('/visit/1', 'nobody', ResultCode.UNAUTHENTICATED),
        ('/visit/1', '', ResultCode.UNAUTHENTICATED),
    ],
)
def test_missing_route_or_key_is_refused_only_while_fresh(gateway, path, key, code):
    """Guards against a 404 for a route that exists.

    A route was added while this instance could not read the store.  Callers do not
    retry a request at another instance after 404 or 401, but they do after 503.
    """
    assert gateway.admit(path, key).code is code
    gateway.advance(3_001)

    assert gateway.admit(path, key).code is ResultCode.NOT_READY


def test_requests_are_refused_before_the_first_configuration():
    gateway = make_gateway()
    gateway.parts.configuration.table = None

    assert gateway.admit().code is ResultCode.NOT_READY


def test_longest_prefix_wins():
    routes = (
        make_route('a', RequestKind.IDEMPOTENT, path_prefix='/a/'),
        make_route('ab', RequestKind.IDEMPOTENT, path_prefix='/a/b/'),
        make_route('root', RequestKind.IDEMPOTENT, path_prefix='/', host='other'),
    )
    table = RouteTable(make_deployment(routes=routes))

    assert table.find_route('desk.example', '/a/b/c').name == 'ab'
    assert table.find_route('desk.example', '/a/bc').name == 'a'
    assert table.find_route('desk.example', '/a') is None
    assert table.find_route('other', '/x').name == 'root'


def test_age_counts_from_the_start_of_the_read(gateway):
    configuration = gateway.parts.configuration
    configuration.confirm(START_MS + 100)
    configuration.confirm(START_MS + 50)

    assert configuration.age_ms(START_MS + 150) == 50


def test_empty_key_belongs_to_nobody():
    """Guards against callers without a key who count as an organisation with an empty one."""
    table = RouteTable(make_deployment(organisations=(Organisation('kochi', ('',)),)))

    assert table.needs_keys
    assert table.find_owner('') is None


@pytest.mark.parametrize(('organisations', 'needs_keys'), [(None, False), ((), True)])
def test_keys_are_needed_unless_there_is_no_list(organisations, needs_keys):
    deployment = make_deployment()._replace(organisations=organisations)

    assert RouteTable(deployment).needs_keys is needs_keys
