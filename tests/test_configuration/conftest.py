"""Fixtures for the tests of the configuration."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from benches.configuration_rig import Rig
from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.fold import ConfigurationFold
from savorychute.inputs.log_record import LogRecord


@pytest.fixture
def fold():
    return ConfigurationFold()


@pytest.fixture
def cluster():
    """Three ready instances with an empty log."""
    cluster = Rig(seed=3)
    for name in ('a', 'b', 'c'):
        cluster.add(name)
    cluster.wait(7_000)
    return cluster


@pytest.fixture
def amend():
    """Return a function that folds an amendment and returns the step."""

    def amend_fold(
        fold: ConfigurationFold,
        item: str,
        base_version: int,
        document: dict[str, Any] | None,
        record_id: str = '',
        **fields: Any,
    ) -> Any:
        offset = fold.state.offset + 1
        record = AmendmentRecord(
            kind=AMENDMENT_KIND,
            record_id=record_id or f'r{offset}',
            operator='asha',
            instance='a',
            item=item,
            base_version=base_version,
            seen_offset=fold.state.offset,
            document=document,
            why='a test',
            at_ms=0,
        )
        payload = msgspec.json.encode({**record, **fields})
        return fold.apply(LogRecord(offset, payload))

    return amend_fold
