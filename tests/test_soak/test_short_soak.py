"""A short seeded run of the gateways' soak."""

from __future__ import annotations

import asyncio
import random

import pytest

from benches.gateway_soak.play import play

SECONDS = 2.0
GATEWAYS = 2
CALLERS = 6
TEST_S = 120


# Time for a holder to be found, and for a window to end under it.
DUTY_SECONDS = 8.0


@pytest.mark.parametrize('seed', [1, 11])
def test_promises_hold_while_faults_overlap(seed, tmp_path):
    """Real processes are killed, paused and cut off from the store under load.

    What callers got and what endpoints ran must fit together; how much was answered in
    these seconds depends on the machine, and is not asserted.
    """

    async def main():
        async with asyncio.timeout(TEST_S):
            return await play(
                random.Random(seed), tmp_path, SECONDS, GATEWAYS, CALLERS, settle=False
            )

    result = asyncio.run(main())

    assert result.broken == []
    assert result.counts['200'] > 0


def test_promises_hold_while_the_store_goes_back(tmp_path):
    """The store comes back from older copies, and one gateway reports usage for all.

    Whoever is killed or paused with a report on its way, no window gets two, and no number
    is of two holders.
    """

    async def main():
        async with asyncio.timeout(TEST_S):
            return await play(
                random.Random(1),
                tmp_path,
                DUTY_SECONDS,
                GATEWAYS,
                CALLERS,
                settle=False,
                older_copies=True,
            )

    result = asyncio.run(main())

    assert result.broken == []
    assert result.counts['200'] > 0


# A statement has to last for a while before it can be judged.
STATED_SECONDS = 12.0


def test_endpoints_get_what_they_state_while_faults_overlap(tmp_path):
    """Endpoints state limits, leave by their own word alone and ask for rest."""

    async def main():
        async with asyncio.timeout(TEST_S):
            return await play(
                random.Random(1),
                tmp_path,
                STATED_SECONDS,
                GATEWAYS,
                CALLERS,
                settle=False,
                statements=True,
            )

    result = asyncio.run(main())

    assert result.broken == []
    assert result.counts['statements'] > 0
