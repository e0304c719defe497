"""The values of a file are passed to the parts that use them."""

from __future__ import annotations

import pytest

from savorychute.config import SETTINGS, Settings, parse_settings
from savorychute.daemon.host_settings import HostSettings
from savorychute.instance.instance_settings import InstanceSettings
from savorychute.settings.part_settings import (
    make_host_settings,
    make_instance_settings,
)

# Read by the daemon itself, and by the application (tests/test_application.py).
NOT_FORWARDED = {'log_level', 'extensions'}


@pytest.fixture
def settings() -> Settings:
    return parse_settings(
        '{"instance": "a-1", "region": "r", "failure_domain": "d", "host": "10.0.0.1",'
        '"log_address": "10.0.0.2:1", "list_address": "10.0.0.3:1",'
        '"peer_keys": [{"key_id": 1, "secret": "00112233445566778899aabbccddeeff"}]}'
    )


def test_defaults_of_the_table_are_those_of_the_parts(settings):
    """The documented default of a setting must equal the default of the part.

    Otherwise a daemon and an embedded instance would behave differently by default.
    """
    assert make_instance_settings(settings) == InstanceSettings()
    ports = {'caller_port': 8080, 'peer_port': 8081}
    required = {name: getattr(settings, name) for name in HostSettings._fields[:7]}
    expected = HostSettings(**required)._replace(**ports)
    assert make_host_settings(settings) == expected


@pytest.mark.parametrize(
    'name', [row.name for row in SETTINGS if row.name not in NOT_FORWARDED]
)
def test_every_setting_changes_the_settings_of_a_part(settings, name):
    value = getattr(settings, name)
    other = settings._replace(**{name: _change_value(value)})
    before = (make_instance_settings(settings), make_host_settings(settings))
    assert (make_instance_settings(other), make_host_settings(other)) != before


def _change_value(value):
    if isinstance(value, int):
        return value + 1
    if isinstance(value, str):
        return value + 'x'
    if isinstance(value, dict):
        return {'ravi': '0' * 64}
    return value[::-1]
