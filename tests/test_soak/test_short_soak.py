"""Short seeded runs of the gateway soak."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from benches.gateway_soak.ledger import Ledger
from benches.gateway_soak.play import find_tracebacks, play
from benches.gateway_soak.site import Site

SOAK_S = 2.0
GATEWAYS = 2
CALLERS = 6
TEST_TIMEOUT_S = 120
POLL_INTERVAL_S = 0.05


# Long enough for a duty holder to be elected and for a usage window to end under it.
DUTY_SOAK_S = 8.0


@pytest.mark.parametrize('seed', [1, 11])
def test_guarantees_hold_while_faults_overlap(seed, tmp_path):
    """Real processes are killed, suspended and cut off from the store under load.

    Responses to callers and runs at endpoints must be consistent. The number of
    responses depends on the machine and is not asserted.
    """

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(seed), tmp_path, SOAK_S, GATEWAYS, CALLERS, settle=False
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts['200'] > 0


def test_guarantees_hold_while_endpoints_send_unusual_responses(tmp_path):
    """Endpoints send without a length, a second time, and without an end.

    A late copy of a refusal must count for no other request, and a response that ended
    early must not look complete.
    """

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(9100),
                tmp_path,
                SOAK_S,
                GATEWAYS,
                CALLERS,
                settle=False,
                answers=True,
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts['200'] > 0


# Enough callers for endpoints with few slots to be full at times.
SHAPE_CALLERS = 30
SHAPE_SHARE = 0.4
SHAPE_SOAK_S = 4.0


@pytest.mark.parametrize(
    'kind, shape',
    [
        ('once', 'extra-503-unnamed-not-run'),
        ('once', 'own-503-named-proven'),
        ('events', 'own-429-named'),
        ('twice', 'extra-200-unnamed-proven'),
    ],
)
def test_responses_count_for_their_own_requests_alone(kind, shape, tmp_path):
    """Guards against a response that is believed though nothing vouches for it."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(9200),
                tmp_path,
                SHAPE_SOAK_S,
                GATEWAYS,
                SHAPE_CALLERS,
                settle=False,
                shapes=[shape],
                shape_share=SHAPE_SHARE,
                kinds=[kind],
                small_endpoints=True,
                fault_names=[],
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts.get('extras', 0) + result.counts.get('failures', 0) > 0


def test_guarantees_hold_while_signals_come_in_series(tmp_path):
    """Guards against requests that run twice or are lost as gateways come and go."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(9200),
                tmp_path,
                SOAK_S,
                GATEWAYS,
                CALLERS,
                settle=False,
                kinds=['once', 'events', 'twice'],
                small_endpoints=True,
                series=True,
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts['series'] > 0


def test_guarantees_hold_while_the_store_is_restored_from_older_copies(tmp_path):
    """The store is restored from older copies, and one gateway reports usage for all.

    If a gateway is killed or suspended while it sends a report, no window may get two
    reports and no fencing token may be used by two holders.
    """

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(1),
                tmp_path,
                DUTY_SOAK_S,
                GATEWAYS,
                CALLERS,
                settle=False,
                older_copies=True,
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts['200'] > 0


# Long enough for statements to last until they can be checked.
STATEMENT_SOAK_S = 12.0


def test_calls_respect_statements_of_endpoints_while_faults_overlap(tmp_path):
    """Endpoints state limits, leave by responses alone and send Retry-After."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(1),
                tmp_path,
                STATEMENT_SOAK_S,
                GATEWAYS,
                CALLERS,
                settle=False,
                statements=True,
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts['statements'] > 0


# Long enough for a part to crash endpoints five times if nobody learns of it.
PART_SOAK_S = 10.0


def test_part_that_crashes_endpoints_is_kept_from_them_while_faults_overlap(tmp_path):
    """Requests share a part on which endpoints crash; some streams have no chunks."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await play(
                random.Random(1),
                tmp_path,
                PART_SOAK_S,
                GATEWAYS,
                CALLERS,
                settle=False,
                parts=True,
            )

    result = asyncio.run(main())

    assert result.violations == []
    assert result.counts['crashes'] > 0


class InvalidValueChooser(random.Random):
    """Chooses the invalid value among the values of a setting."""

    def choice(self, values):
        """Return the last value."""
        return values[-1]


def test_reload_does_not_end_a_gateway_that_is_starting(tmp_path):
    """Guards against a gateway that starts with the invalid settings of a reload."""

    async def main():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            site = Site(tmp_path, Ledger(), random.Random(1))
            try:
                await site.start(1)
                gateway = site.gateways[0]
                gateway.change_settings(InvalidValueChooser())
                while not gateway.has_read_settings():
                    assert gateway.process.returncode is None
                    await asyncio.sleep(POLL_INTERVAL_S)
            finally:
                await site.stop()
            return gateway.process.returncode

    assert asyncio.run(main()) == 0


def make_library_line(**fields):
    line = {'logger': 'asyncio', 'level': 'warning', 'error': ''} | fields
    return json.dumps(line | {'message_type': 'library-logged'}) + '\n'


@pytest.mark.parametrize(
    'line',
    [
        'Traceback (most recent call last):\n',
        make_library_line(level='error', error='KeyError'),
        make_library_line(error='OSError'),
        make_library_line(level='error'),
        make_library_line(logger='h11'),
        make_library_line(),
    ],
)
def test_reports_of_libraries_are_violations(line, tmp_path):
    """Guards against missing an exception, or a write to a lost connection."""
    (tmp_path / 'gateway-0.log').write_text(line)

    assert len(find_tracebacks(tmp_path)) == 1
