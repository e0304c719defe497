"""A settings file is accepted as a whole, or all of its faults are listed."""

from __future__ import annotations

import json

import pytest

from savorychute.config import (
    SETTINGS,
    NetworkAddress,
    Settings,
    parse_settings,
    read_settings,
)
from savorychute.errors import SettingsError
from savorychute.settings.setting import REQUIRED

MINIMAL = """\
{
  // Where it runs.
  "instance": "a-1",
  "region": "kerala",
  "failure_domain": "kochi-hall",
  "host": "127.0.0.1",
  /* The platform, and a "key": "that is commented out". */
  "log_address": "127.0.0.1:7000",
  "list_address": "127.0.0.1:7001",
  "peer_keys": [{"key_id": 1, "secret": "00112233445566778899aabbccddeeff"}],
}
"""


@pytest.fixture
def fault_list():
    def collect(text):
        with pytest.raises(SettingsError) as caught:
            parse_settings(text, 'a.jsonc')
        return list(caught.value.faults)

    return collect


def test_minimal_file_takes_all_defaults():
    settings = parse_settings(MINIMAL)
    assert settings.log_address == NetworkAddress('127.0.0.1', 7000)
    assert settings.peer_keys.signing.secret[1] == 0x11
    for setting in SETTINGS:
        if setting.default is not REQUIRED:
            assert getattr(settings, setting.name) == setting.default


def test_table_and_settings_have_the_same_names():
    assert tuple(setting.name for setting in SETTINGS) == Settings._fields


def test_every_default_is_a_valid_value_in_a_file():
    for setting in SETTINGS:
        if setting.default is not REQUIRED:
            stated = json.loads(json.dumps(setting.default))
            assert setting.read(stated) == setting.default


def test_all_faults_are_listed_by_line(fault_list):
    """All faults of a file are reported at once.

    With one fault per attempt, an operator would have to correct the file and restart
    for each of them, which takes an hour with a dozen instances.  One read therefore
    lists all faults with the file, the line, the value and the expected value.
    """
    text = MINIMAL.replace('"kerala"', '"Kerala!"')
    text = text.replace('"127.0.0.1:7001"', '7001')
    text = text.replace('"host"', '"hots"')
    text = text.replace(
        '{\n', '{\n  "max_connections": true, "log_level": "loud",\n', 1
    )
    assert fault_list(text) == [
        'a.jsonc:1: "host" is missing, expected string',
        'a.jsonc:2: "log_level" is "loud", expected one of debug, info, warning, error',
        'a.jsonc:2: "max_connections" is true, expected a whole number from 1 to '
        '1000000',
        'a.jsonc:5: "region" is "Kerala!", expected a name of 1 to 63 of a-z, 0-9, '
        '"." and "-"',
        'a.jsonc:7: unknown setting "hots", expected "host"',
        'a.jsonc:10: "list_address" is 7001, expected an address such as '
        '"10.0.0.1:7000"',
    ]


def test_setting_that_appears_twice_is_refused(fault_list):
    text = MINIMAL.replace('}\n', '  "region": "bengal"\n}\n')
    assert 'a.jsonc:11: "region" appears twice, expected once' in fault_list(text)


@pytest.mark.parametrize(
    'added, fault',
    [
        (
            '"tls_certificate_file": "chain.pem"',
            'a.jsonc:1: "tls_key_file" is "", expected set together with '
            '"tls_certificate_file", or neither',
        ),
        (
            '"probe_timeout_ms": 1000',
            'a.jsonc:2: "probe_timeout_ms" is 1000, expected less than '
            '"probe_interval_ms"',
        ),
        (
            '"discovery_max_lifetime_ms": 5',
            'a.jsonc:2: "discovery_max_lifetime_ms" is 5, expected not less than '
            '"discovery_min_lifetime_ms"',
        ),
        (
            '"caller_port": 8081',
            'a.jsonc:1: "peer_port" is 8081, expected different from "caller_port"',
        ),
        (
            '"max_buffers_bytes": 1024',
            'a.jsonc:1: "max_body_bytes" is 4194304, expected not more than '
            '"max_buffers_bytes"',
        ),
        (
            '"router": "fastest"',
            'a.jsonc:2: "router" is "fastest", expected one of least-outstanding, '
            'predicted, round-robin',
        ),
        (
            '"log_dialect": "carrier-pigeon"',
            'a.jsonc:2: "log_dialect" is "carrier-pigeon", expected one of http',
        ),
    ],
)
def test_violated_rule_or_unknown_variant_is_a_fault(fault_list, added, fault):
    assert fault_list(MINIMAL.replace('{\n', f'{{\n  {added},\n', 1)) == [fault]


def test_syntax_error_names_its_line(fault_list):
    [fault] = fault_list(MINIMAL.replace('"a-1",', '"a-1"'))
    assert fault.startswith('a.jsonc:4 ')


@pytest.mark.parametrize('text', ['', '[]', '5', '{"instance"', '"a"', '{]', '\x00'])
def test_text_that_is_not_an_object_is_refused(fault_list, text):
    assert len(fault_list(text)) == 1


def test_fault_never_contains_a_secret(fault_list):
    text = MINIMAL.replace('00112233445566778899aabbccddeeff', 'hunter2')
    text = text.replace('{\n', '{\n  "operator_token_hashes": ["hunter2"],\n', 1)
    faults = fault_list(text)
    assert len(faults) == 2
    assert not any('hunter2' in fault for fault in faults)


def test_secret_is_read_from_its_file(tmp_path):
    secret = tmp_path / 'peer.key'
    secret.write_text('aa' * 32 + '\n')
    entry = json.dumps({'key_id': 2, 'secret_file': str(secret)})
    text = MINIMAL.replace('[{"key_id": 1', f'[{entry}, {{"key_id": 1')
    keys = parse_settings(text).peer_keys
    assert (keys.signing.key_id, keys.signing.secret) == (2, b'\xaa' * 32)
    assert [key.key_id for key in keys.accepted] == [1]


def test_missing_file_is_a_fault(tmp_path):
    with pytest.raises(SettingsError, match='cannot be read'):
        read_settings(tmp_path / 'missing.jsonc')
