"""Tests of attempts whose path to the endpoint was lost."""

from __future__ import annotations

from gateway_fakes import START_MS, SUCCESS, make_gateway, make_prompt

from savorychute.http.client_pool import ServerAddress

OTHER_ENDPOINTS = (ServerAddress('10.9.0.1', 1), ServerAddress('10.9.0.2', 1))


def is_blocked(gateway, endpoint):
    record = gateway.parts.roster.get(endpoint)
    return record.health.is_blocked(gateway.clock.now_ms())


def test_broken_tunnel_does_not_block_its_endpoint():
    """Guards against a relay's end that counts as the failure of endpoints."""
    gateway = make_gateway()
    gateway.start('/visit/1')
    attempt = gateway.last_attempt
    attempt.via = 'edge-2'
    attempt.mark_sent()
    attempt.break_connection()

    assert not is_blocked(gateway, attempt.endpoint)
    gateway.last_attempt.respond(SUCCESS, b'done')


def test_isolated_instance_does_not_block_endpoints_that_it_cannot_reach():
    """Guards against endpoints that stay blocked after a cut has healed."""
    gateway = make_gateway()
    for address in OTHER_ENDPOINTS:
        gateway.parts.paths.record_bypassed(address, START_MS, hung=False)
    gateway.start('/visit/1')
    attempt = gateway.last_attempt
    attempt.break_connection(sent=False)

    assert not is_blocked(gateway, attempt.endpoint)


def test_stream_on_a_lost_path_is_not_kept_by_probes():
    """Guards against a stream that hangs because its engine answers on another path."""
    gateway = make_gateway()
    gateway.start('/diagnosis/1', prompt=make_prompt())
    attempt = gateway.last_attempt
    attempt.mark_sent()
    attempt.path_lost = True
    gateway.advance(2_000)

    assert attempt.cancelled
    assert len(gateway.attempts.sent) == 2
    assert not is_blocked(gateway, attempt.endpoint)


def test_silent_endpoint_has_its_path_checked():
    """Guards against a kept connection that hangs and counts as a hung endpoint."""
    gateway = make_gateway()
    gateway.start('/visit/1')
    attempt = gateway.last_attempt
    attempt.mark_sent()
    gateway.advance(200)

    assert gateway.attempts.checked_paths == [attempt.endpoint]
