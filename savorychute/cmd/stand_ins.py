"""The command ``stand-ins``."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from collections.abc import AsyncIterator

DEFAULT_LOG_PORT = 7000
DEFAULT_LIST_PORT = 7001
DEFAULT_ENGINE_PORT = 7100
DEFAULT_SERVICE_PORT = 7200
DEFAULT_ENGINE_COUNT = 2
DEFAULT_MODEL = 'pump-diagnosis'
DEFAULT_SERVICE = 'visit-log'
SEED = 1


@COMMANDS.register('stand-ins')
class StandIns:
    """Run stand-ins for the platform and for endpoints on loopback."""

    summary = 'run a log, a list, engines and a service for trying out an instance'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add ports and names; the system chooses the port if it is 0."""
        ports = {
            '--log-port': DEFAULT_LOG_PORT,
            '--list-port': DEFAULT_LIST_PORT,
            '--engine-port': DEFAULT_ENGINE_PORT,
            '--service-port': DEFAULT_SERVICE_PORT,
        }
        for option, port in ports.items():
            parser.add_argument(
                option,
                type=int,
                default=port,
                metavar='N',
                help=f'port (default {port})',
            )
        parser.add_argument(
            '--engines',
            type=int,
            default=DEFAULT_ENGINE_COUNT,
            metavar='N',
            help=f'number of engines, on consecutive ports (default {DEFAULT_ENGINE_COUNT})',
        )
        parser.add_argument(
            '--model',
            default=DEFAULT_MODEL,
            help=f'model of the engines (default {DEFAULT_MODEL})',
        )
        parser.add_argument(
            '--service',
            default=DEFAULT_SERVICE,
            help=f'name of the service (default {DEFAULT_SERVICE})',
        )

    def run(self, arguments: Namespace) -> int:
        """Serve until SIGTERM or SIGINT."""
        asyncio.run(_serve_all(arguments))
        return ExitCode.OK


async def _serve_all(arguments: Namespace) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with _open_all(arguments) as lines:
        print('\n'.join(lines), flush=True)
        await stop.wait()


@asynccontextmanager
async def _open_all(arguments: Namespace) -> AsyncIterator[list[str]]:
    """Start all stand-ins and yield a line with the port of each."""
    # Imported here because few commands need the stand-ins.
    from savorychute.testing.append_log import AppendLog, LogSettings
    from savorychute.testing.engine import ModelEngine
    from savorychute.testing.engine_server import serve_engine
    from savorychute.testing.engine_settings import EngineSettings
    from savorychute.testing.instance_list import InstanceList
    from savorychute.testing.list_server import serve_list
    from savorychute.testing.log_server import serve_log
    from savorychute.testing.plain_service import PlainService, ServiceSettings
    from savorychute.testing.service_server import serve_service

    rng = random.Random(SEED)
    lines: list[str] = []
    async with AsyncExitStack() as stack:
        log = AppendLog(LogSettings(), rng)
        log_server = await stack.enter_async_context(
            serve_log(log, port=arguments.log_port)
        )
        lines.append(f'log {log_server.port}')
        list_server = await stack.enter_async_context(
            serve_list(InstanceList(), port=arguments.list_port)
        )
        lines.append(f'list {list_server.port}')
        for number in range(arguments.engines):
            name = f'engine-{number + 1}'
            engine = ModelEngine(
                EngineSettings(name=name, models=(arguments.model,)), rng
            )
            port = arguments.engine_port and arguments.engine_port + number
            server = await stack.enter_async_context(serve_engine(engine, port=port))
            lines.append(f'{name} {server.port}')
        service = PlainService(ServiceSettings(name=arguments.service))
        service_server = await stack.enter_async_context(
            serve_service(service, port=arguments.service_port)
        )
        lines.append(f'{arguments.service} {service_server.port}')
        yield lines
