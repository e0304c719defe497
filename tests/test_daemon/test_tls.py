"""Tests of TLS for connections of callers.

The certificates are used only by these tests; their names are ``first.example``
and ``second.example``.
"""

from __future__ import annotations

import asyncio
import shutil
import socket
import ssl
from contextlib import suppress
from pathlib import Path

import pytest
from daemon_fakes import call, run_forwarding, wait_until

from savorychute.daemon.tls import TlsKeys, reload_periodically
from savorychute.http.budget_share import ConnectionState
from savorychute.http.http_limits import HttpLimits

CERTIFICATES = Path(__file__).parent / 'certificates'
MINUTE_MS = 60_000


class FakeLog:
    """A fake log that records events."""

    def __init__(self):
        self.events = []

    def warning(self, event, **fields):
        """Record the event."""
        self.events.append((event, fields))


def install(directory, name):
    shutil.copy(CERTIFICATES / f'{name}.pem', directory / 'chain.pem')
    shutil.copy(CERTIFICATES / f'{name}.key', directory / 'key.pem')


def trust_both():
    context = ssl.create_default_context(cafile=CERTIFICATES / 'first.pem')
    context.load_verify_locations(CERTIFICATES / 'second.pem')
    return context


def read_common_name(caller):
    certificate = caller.writer.get_extra_info('peercert')
    return dict(pair[0] for pair in certificate['subject'])['commonName']


async def request_health(caller):
    caller.write_request('GET', '/healthz', {})
    return (await caller.read_response()).status


def test_reloaded_keys_serve_new_connections_and_drop_no_open_one(tmp_path):
    """Guard against dropped connections when the certificate is renewed.

    Operators replace certificate and key while callers are connected.  Open
    connections continue unchanged; new ones get the new certificate.
    """
    install(tmp_path, 'first')

    async def main():
        files = {
            'tls_certificate_file': str(tmp_path / 'chain.pem'),
            'tls_key_file': str(tmp_path / 'key.pem'),
        }
        async with (
            run_forwarding(**files) as (host, _),
            call(host.address.caller_port, ssl=trust_both()) as old,
        ):
            assert await request_health(old) == 200
            install(tmp_path, 'second')
            host.tls.reload()
            async with call(host.address.caller_port, ssl=trust_both()) as new:
                statuses = [await request_health(old), await request_health(new)]
                return read_common_name(old), read_common_name(new), statuses

    assert asyncio.run(main()) == ('first.example', 'second.example', [200, 200])


def test_failed_reload_keeps_the_keys_and_is_logged(tmp_path):
    """Guard against a daemon without keys after a reload in the middle of a renewal.

    The reload happens after the chain was written and before its key was.  The
    daemon continues with its current keys and logs the failure.
    """
    install(tmp_path, 'first')
    keys = TlsKeys(str(tmp_path / 'chain.pem'), str(tmp_path / 'key.pem'))
    before = keys.current_context
    shutil.copy(CERTIFICATES / 'second.pem', tmp_path / 'chain.pem')
    log = FakeLog()

    async def main():
        async with reload_periodically(keys, 5, log) as reload:
            reload()
            await wait_until(lambda: len(log.events) > 2)
            shutil.copy(CERTIFICATES / 'second.key', tmp_path / 'key.pem')
            await wait_until(lambda: keys.current_context is not before)

    with pytest.raises(ssl.SSLError):
        keys.reload()
    asyncio.run(main())

    assert log.events[0] == ('tls-reload-failed', {'error': 'SSLError'})


def test_keys_replaced_before_the_reloads_start_are_used(tmp_path):
    """Guards against an old certificate in use until the next periodic reload.

    It is renewed after the instance loaded it, and the signal comes before its handler.
    """
    install(tmp_path, 'first')
    keys = TlsKeys(str(tmp_path / 'chain.pem'), str(tmp_path / 'key.pem'))
    before = keys.current_context
    install(tmp_path, 'second')

    async def main():
        async with reload_periodically(keys, MINUTE_MS, FakeLog()):
            await wait_until(lambda: keys.current_context is not before)

    asyncio.run(main())


def test_plain_request_to_a_tls_port_is_aborted(tmp_path):
    install(tmp_path, 'first')

    async def main():
        files = {
            'tls_certificate_file': str(tmp_path / 'chain.pem'),
            'tls_key_file': str(tmp_path / 'key.pem'),
        }
        async with (
            run_forwarding(**files) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('GET', '/healthz', {})
            return await caller.read_response(), instance.inputs

    response, inputs = asyncio.run(main())

    assert (response.status, response.complete, inputs) == (0, False, [])


def test_refusal_over_tls_reaches_the_caller(tmp_path):
    install(tmp_path, 'first')

    async def main():
        files = {
            'tls_certificate_file': str(tmp_path / 'chain.pem'),
            'tls_key_file': str(tmp_path / 'key.pem'),
        }
        limits = HttpLimits(body_bytes=100)
        async with (
            run_forwarding(http=limits, **files) as (host, _),
            call(host.address.caller_port, ssl=trust_both()) as caller,
        ):
            caller.write_request('POST', '/v1/keys', {}, b'a' * 200_000)
            return await caller.read_response()

    response = asyncio.run(main())

    assert (response.status, response.headers['x-result-code']) == (413, '1010')


def test_handshake_without_its_end_is_aborted_in_time(tmp_path):
    """Guards against connections that stay for ever before they are encrypted."""
    install(tmp_path, 'first')

    async def main():
        limits = HttpLimits(header_timeout_ms=100)
        async with (
            run_forwarding(http=limits, **tls_files(tmp_path)) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.writer.write(b'\x16\x03\x01')
            await wait_until(lambda: host.server.open_connections == 1)
            async with asyncio.timeout(10):
                with suppress(ConnectionError):
                    await caller.reader.read()
            await wait_until(lambda: host.server.open_connections == 0)
            return host.server.budget.connections

    assert asyncio.run(main()) == 0


def test_unfinished_handshake_yields_its_place(tmp_path):
    """Guards against callers that take all places before they are encrypted."""
    install(tmp_path, 'first')

    async def main():
        limits = HttpLimits(connections=1)
        async with (
            run_forwarding(http=limits, **tls_files(tmp_path)) as (host, _),
            call(host.address.caller_port) as silent,
        ):
            await wait_until(lambda: host.server.open_connections == 1)
            async with call(host.address.caller_port, ssl=trust_both()) as caller:
                status = await request_health(caller)
                return status, await silent.reader.read()

    assert asyncio.run(main()) == (200, b'')


def test_connection_beyond_the_limit_is_refused_over_tls(tmp_path):
    """Guards against a reset in place of a refusal when all places are in use."""
    install(tmp_path, 'first')

    async def main():
        limits = HttpLimits(connections=1)
        async with (
            run_forwarding(http=limits, **tls_files(tmp_path)) as (host, _),
            call(host.address.caller_port, ssl=trust_both()) as first,
        ):
            first.writer.write(b'GET /healthz HTTP/1.1\r\nhost: x\r\n')
            await first.writer.drain()
            await wait_until(lambda: host.server.connections and not has_silent(host))
            async with call(host.address.caller_port, ssl=trust_both()) as second:
                return (await second.read_response()).status

    assert asyncio.run(main()) == 503


def test_request_that_follows_the_handshake_at_once_is_answered(tmp_path):
    """Guards against bytes that arrive before the connection knows of its handshake."""
    install(tmp_path, 'first')

    async def main():
        async with (
            run_forwarding(**tls_files(tmp_path)) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            return await asyncio.to_thread(
                ask_at_once, caller.writer.get_extra_info('peername')
            )

    assert asyncio.run(main()).startswith(b'HTTP/1.1 200 ')


def ask_at_once(address):
    """Send the end of the handshake and a request in one segment."""
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    tls = trust_both().wrap_bio(incoming, outgoing, server_hostname='first.example')
    with socket.create_connection(address, timeout=10) as connection:
        while True:
            try:
                tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                connection.sendall(outgoing.read())
                incoming.write(connection.recv(65_536))
        tls.write(b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n')
        connection.sendall(outgoing.read())
        while True:
            try:
                return tls.read(65_536)
            except ssl.SSLWantReadError:
                incoming.write(connection.recv(65_536))


def tls_files(directory):
    return {
        'tls_certificate_file': str(directory / 'chain.pem'),
        'tls_key_file': str(directory / 'key.pem'),
    }


def has_silent(host):
    shares = (each.share for each in host.server.connections)
    return any(share.state is ConnectionState.SILENT for share in shares)
