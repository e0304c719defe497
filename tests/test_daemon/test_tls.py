"""Tests of TLS towards callers.

The certificates are for these tests alone; their names are ``first.example``
and ``second.example``.
"""

from __future__ import annotations

import asyncio
import shutil
import ssl
from pathlib import Path

import pytest
from daemon_fakes import call, run_passing, wait_until

from savorychute.daemon.tls import TlsKeys, keep_reloading
from savorychute.http.http_limits import HttpLimits

CERTIFICATES = Path(__file__).parent / 'certificates'


class Lines:
    """Collects what would be logged."""

    def __init__(self):
        self.events = []

    def warning(self, event, **fields):
        """Keep the event."""
        self.events.append((event, fields))


def install(directory, name):
    shutil.copy(CERTIFICATES / f'{name}.pem', directory / 'chain.pem')
    shutil.copy(CERTIFICATES / f'{name}.key', directory / 'key.pem')


def trust_any():
    context = ssl.create_default_context(cafile=CERTIFICATES / 'first.pem')
    context.load_verify_locations(CERTIFICATES / 'second.pem')
    return context


def read_name(caller):
    certificate = caller.writer.get_extra_info('peercert')
    return dict(pair[0] for pair in certificate['subject'])['commonName']


async def ask(caller):
    caller.write_request('GET', '/healthz', {})
    return (await caller.read_answer()).status


def test_reloaded_keys_serve_new_connections_and_drop_no_old_one(tmp_path):
    """Renewal of the certificate.

    Operators replace certificate and key while callers are connected.  Open
    connections go on as they are, new ones get the new certificate.
    """
    install(tmp_path, 'first')

    async def main():
        files = {
            'tls_certificate_file': str(tmp_path / 'chain.pem'),
            'tls_key_file': str(tmp_path / 'key.pem'),
        }
        async with (
            run_passing(**files) as (host, _),
            call(host.address.caller_port, ssl=trust_any()) as old,
        ):
            assert await ask(old) == 200
            install(tmp_path, 'second')
            host.tls.reload()
            async with call(host.address.caller_port, ssl=trust_any()) as new:
                statuses = [await ask(old), await ask(new)]
                return read_name(old), read_name(new), statuses

    assert asyncio.run(main()) == ('first.example', 'second.example', [200, 200])


def test_failed_reload_keeps_the_keys_and_is_logged(tmp_path):
    """Half a renewal.

    The reload happens between the writing of the chain and of its key.  The
    daemon goes on with the keys that it has, and says so.
    """
    install(tmp_path, 'first')
    keys = TlsKeys(str(tmp_path / 'chain.pem'), str(tmp_path / 'key.pem'))
    before = keys.current
    shutil.copy(CERTIFICATES / 'second.pem', tmp_path / 'chain.pem')
    lines = Lines()

    async def main():
        async with keep_reloading(keys, 5, lines) as reload:
            reload()
            await wait_until(lambda: len(lines.events) > 2)
            shutil.copy(CERTIFICATES / 'second.key', tmp_path / 'key.pem')
            await wait_until(lambda: keys.current is not before)

    with pytest.raises(ssl.SSLError):
        keys.reload()
    asyncio.run(main())

    assert lines.events[0] == ('tls-reload-failed', {'error': 'SSLError'})


def test_plain_request_to_a_tls_port_is_cut(tmp_path):
    install(tmp_path, 'first')

    async def main():
        files = {
            'tls_certificate_file': str(tmp_path / 'chain.pem'),
            'tls_key_file': str(tmp_path / 'key.pem'),
        }
        async with (
            run_passing(**files) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('GET', '/healthz', {})
            return await caller.read_answer(), instance.inputs

    answer, inputs = asyncio.run(main())

    assert (answer.status, answer.whole, inputs) == (0, False, [])


def test_refusal_over_tls_reaches_the_caller(tmp_path):
    install(tmp_path, 'first')

    async def main():
        files = {
            'tls_certificate_file': str(tmp_path / 'chain.pem'),
            'tls_key_file': str(tmp_path / 'key.pem'),
        }
        limits = HttpLimits(body_bytes=100)
        async with (
            run_passing(http=limits, **files) as (host, _),
            call(host.address.caller_port, ssl=trust_any()) as caller,
        ):
            caller.write_request('POST', '/v1/keys', {}, b'a' * 200_000)
            return await caller.read_answer()

    answer = asyncio.run(main())

    assert (answer.status, answer.headers['x-result-code']) == (413, '1010')
