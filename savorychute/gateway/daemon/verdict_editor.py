"""Reads the verdicts in the store for an operator, and lifts one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.clock import SystemClock, SystemWallClock
from savorychute.gateway.platform_adapter import PLATFORMS
from savorychute.gateway.recovery.stored_verdicts import (
    decode_verdicts,
    encode_verdict,
    make_record_key,
)
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.gateway.store.store_access import StoreAccess
from savorychute.gateway.store.store_era import StoreEra
from savorychute.http.client_pool import PoolSettings, ServerAddress, open_pool
from savorychute.settings.settings_file import read_schema

if TYPE_CHECKING:
    from pathlib import Path

    from savorychute.crashes.verdict import Verdict


async def edit_verdicts(path: Path | str, lifted_key: str | None) -> dict[str, Verdict]:
    """Return the stored verdicts by their keys, after one of them was lifted.

    The times of their trials count from now.

    :param path: the settings of a gateway.
    :param lifted_key: the key of the verdict to lift; None to lift none.
    :raises SettingsError: if the settings are not valid.
    :raises StoreUnavailableError: if the store does not respond.
    """
    settings = read_schema(path, GATEWAY_SCHEMA)
    timeout_ms = int(settings.store_timeout_ms)
    pool_settings = PoolSettings(connect_timeout_ms=timeout_ms)
    with open_pool(pool_settings, SystemClock()) as pool:
        address = ServerAddress(*settings.store_address)
        access = StoreAccess(pool, address, timeout_ms, StoreEra())
        topic = PLATFORMS.get(settings.platform)().verdict_topic(access)
        snapshot = await topic.list_newest()
        wall_ms = SystemWallClock().wall_ms()
        verdicts = {
            make_record_key(verdict.key): verdict
            for verdict in decode_verdicts(snapshot.records, wall_ms)
        }
        verdict = verdicts.get(lifted_key or '')
        if verdict is not None and not verdict.lifted:
            lifted = verdicts[lifted_key or ''] = verdict.lift()
            await topic.write(lifted_key or '', encode_verdict(lifted, wall_ms))
    return verdicts
