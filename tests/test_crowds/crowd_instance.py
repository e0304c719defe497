"""One assembled instance with low limits, as its own process, with a service."""

from __future__ import annotations

import asyncio
import json
import ssl
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random

from crowd_callers import ask_once, ask_ordinary, encode_head
from crowd_process import (
    BODY_BYTES,
    HEADER_BYTES,
    POLL_S,
    CrowdProcess,
    start_process,
    watch,
)

from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log
from savorychute.testing.plain_service import PlainService, ServiceSettings
from savorychute.testing.ports import free_ports
from savorychute.testing.service_server import serve_service

sys.path.append(str(Path(__file__).parents[1] / 'test_daemon'))

from system_fixture import (
    CONTRACT,
    OPERATOR_TOKEN,
    TOKEN,
    describe_service,
    make_settings,
)

CERTIFICATES = Path(__file__).parents[1] / 'test_daemon' / 'certificates'
MEMORY_MB = 150
CONNECTIONS = 200
BUFFERS_BYTES = 16 * BODY_BYTES
READY_S = 30
# A request to the service.
CALL = {
    'target': '/v1/services/desk/a',
    'key': TOKEN,
    'x_request_class': 'diagnosis',
}


class CrowdInstance(CrowdProcess):
    """An assembled instance.

    :param process: the instance.
    :param caller_port: its port for callers.
    :param tls: the context of its callers, or None without encryption.
    """

    def __init__(self, process, caller_port, tls):
        super().__init__(process, caller_port, MEMORY_MB)
        self.tls = tls

    async def ask_ordinary(self):
        """Ask as an ordinary caller; return the last status."""
        return await ask_ordinary(self.caller_port, tls=self.tls, **CALL)

    async def send_command(self, verb, arguments):
        """Send an operator's command until it is carried out."""
        body = json.dumps(arguments).encode()
        head = encode_head(
            f'/v1/operator/{verb}', key=OPERATOR_TOKEN, content_length=len(body)
        )
        async with asyncio.timeout(READY_S):
            while await ask_once(self.caller_port, head + body, self.tls) != 200:
                await asyncio.sleep(POLL_S)


def make_low_settings(caller_port, log_port, list_port, encrypted):
    keys = {
        'tls_certificate_file': str(CERTIFICATES / 'first.pem'),
        'tls_key_file': str(CERTIFICATES / 'first.key'),
    }
    return {
        **make_settings(log_port, list_port),
        'caller_port': caller_port,
        'max_connections': CONNECTIONS,
        'max_header_bytes': HEADER_BYTES,
        'max_body_bytes': BODY_BYTES,
        'max_buffers_bytes': BUFFERS_BYTES,
        **(keys if encrypted else {}),
    }


@asynccontextmanager
async def run_instance(folder, encrypted):
    """Run an assembled instance, its log, its list and a service."""
    log = AppendLog(LogSettings(latency_ms=1.0), Random(2))
    service = PlainService(ServiceSettings(service_ms=5.0))
    async with AsyncExitStack() as stack:
        log_server = await stack.enter_async_context(serve_log(log))
        list_server = await stack.enter_async_context(serve_list(InstanceList(0.0)))
        service_server = await stack.enter_async_context(serve_service(service))
        (caller_port,) = free_ports(1)
        settings = make_low_settings(
            caller_port, log_server.port, list_server.port, encrypted
        )
        path = folder / 'settings.json'
        path.write_text(json.dumps(settings))
        process = await start_process(folder, 'savorychute', 'serve', str(path))
        tls = trust_anybody() if encrypted else None
        site = CrowdInstance(process, caller_port, tls)
        async with watch(site):
            await configure(site, service_server.port)
            yield site


async def configure(site, service_port):
    """Write the contract and the service, and wait until it is served."""
    contract = {'organisation': 'malanadu', 'document': CONTRACT}
    endpoint = {'document': describe_service(service_port)}
    change = {'base_version': 0, 'why': 'first'}
    await site.send_command('contract-amend', contract | change)
    await site.send_command('endpoint-add', endpoint | change)
    async with asyncio.timeout(READY_S):
        while await site.ask_ordinary() != 200:
            await asyncio.sleep(POLL_S)


def trust_anybody():
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context
