"""The script of the demonstration: load, faults and operator commands."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

from savorychute.client import ClientSettings, open_client
from savorychute.clock import SystemClock
from savorychute.demo.caller import Caller
from savorychute.demo.demo_class import SERVICE, list_classes
from savorychute.demo.documents import (
    make_contract,
    make_engine_document,
    make_service_document,
    make_token,
)
from savorychute.demo.site import DOMAINS, open_site
from savorychute.demo.tally import DemoResult, Tally
from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode
from savorychute.testing.stand_in_http import loop_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.client import Client
    from savorychute.demo.demo_class import DemoClass
    from savorychute.demo.site import Site

    ProgressReporter = Callable[[str], None]

ORGANISATIONS = ('malanadu', 'hooghly')
RATE_PER_S = 16.0
LOAD_S = 16.0
BURST_CLASS = 'diagnosis'
BURST_RATE_PER_S = 30.0
BURST_S = 3.0
READY_POLL_S = 0.1
READY_TIMEOUT_S = 15.0
MEAN_TOKENS = 24
FAULT_TARGETS = {'crashed': 'engine-2', 'drained': 'engine-5', 'restarted': 'entry-2'}


class Script:
    """Generates load and injects faults at the same time.

    :param site: the site into which faults are injected.
    :param report: receives progress messages for the user.
    """

    def __init__(self, site: Site, report: ProgressReporter) -> None:
        self._site = site
        self._report = report
        self._classes = list_classes(RATE_PER_S)
        self.tally = Tally(self._classes)
        self._calls: list[asyncio.Task[None]] = []
        self._call_count = 0
        self._clock = SystemClock()

    async def run(self) -> DemoResult:
        """Submit the configuration, run load and faults, and return the results."""
        await self._wait_until_ready()
        await self._submit_configuration()
        started_ms = self._clock.now_ms()
        async with AsyncExitStack() as stack:
            clients = {
                organisation: await stack.enter_async_context(
                    open_client(
                        ClientSettings(self._site.seeds, make_token(organisation))
                    )
                )
                for organisation in ORGANISATIONS
            }
            async with asyncio.TaskGroup() as group:
                for demo_class in self._classes:
                    client = clients[demo_class.organisation]
                    group.create_task(
                        self._generate_calls(
                            client, demo_class, demo_class.rate_per_s, LOAD_S
                        )
                    )
                group.create_task(self._inject_faults(clients))
            self._report('waiting for the last responses')
            await asyncio.gather(*self._calls)
        duration_ms = self._clock.now_ms() - started_ms
        bodies = self._site.service.bodies_executed
        duplicated = sum(1 for count in bodies.values() if count > 1)
        generated_tokens = self._site.count_generated_tokens()
        return self.tally.summarise(duplicated, generated_tokens, duration_ms)

    async def _inject_faults(self, clients: dict[str, Client]) -> None:
        await asyncio.sleep(2)
        self._report(f'burst of {BURST_CLASS}')
        burst_class = next(
            each for each in self._classes if each.call_class.name == BURST_CLASS
        )
        await self._generate_calls(
            clients[burst_class.organisation], burst_class, BURST_RATE_PER_S, BURST_S
        )
        crashed_server = self._site.engines[FAULT_TARGETS['crashed']]
        self._report(f'{FAULT_TARGETS["crashed"]} crashes')
        crashed_server.crash()
        await asyncio.sleep(1)
        self._report(f'{FAULT_TARGETS["drained"]} is drained')
        await self._send_command(
            'endpoint-drain', endpoint=FAULT_TARGETS['drained'], why='repair'
        )
        await asyncio.sleep(1)
        self._report(f'{FAULT_TARGETS["crashed"]} is back')
        crashed_server.engine.restart(loop_ms())
        await self._amend_contract()
        self._report(f'{FAULT_TARGETS["restarted"]} is restarted gracefully')
        await self._site.stop_instance(FAULT_TARGETS['restarted'])
        await self._site.start_instance(FAULT_TARGETS['restarted'], DOMAINS[1])

    async def _amend_contract(self) -> None:
        current = await self._send_command('contract-show', organisation='hooghly')
        document = current['document']
        document['requests_per_s'] *= 2
        self._report('the contract of hooghly is amended')
        await self._send_command(
            'contract-amend',
            organisation='hooghly',
            base_version=current['version'],
            document=document,
            why='busier season',
        )

    async def _generate_calls(
        self,
        client: Client,
        demo_class: DemoClass,
        rate_per_s: float,
        duration_s: float,
    ) -> None:
        """Start calls at random times, without waiting for their responses."""
        rng = self._site.rng
        end_ms = self._clock.now_ms() + duration_s * 1_000
        while True:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            if self._clock.now_ms() >= end_ms:
                return
            self._call_count += 1
            tokens = max(4, int(rng.expovariate(1 / MEAN_TOKENS)))
            caller = Caller(client, demo_class, f'demo-{self._call_count}', tokens)
            task = asyncio.create_task(caller.run(self.tally))
            self._calls.append(task)

    async def _wait_until_ready(self) -> None:
        self._report('waiting for the instances to discover each other')
        deadline_ms = self._clock.now_ms() + READY_TIMEOUT_S * 1_000
        while not all(host.instance.ready for host in self._site.hosts.values()):
            if self._clock.now_ms() > deadline_ms:
                raise SavorychuteError('the instances did not become ready in time')
            await asyncio.sleep(READY_POLL_S)

    async def _submit_configuration(self) -> None:
        self._report('the operator adds contracts and endpoints')
        why = 'first configuration'
        async with asyncio.TaskGroup() as group:
            for organisation in ORGANISATIONS:
                document = make_contract(organisation, self._classes)
                group.create_task(
                    self._send_command(
                        'contract-amend',
                        organisation=organisation,
                        base_version=0,
                        document=document,
                        why=why,
                    )
                )
            for name, server in self._site.engines.items():
                engine_document = make_engine_document(
                    name,
                    self._site.domains[name],
                    server.port,
                    server.engine.settings.max_running,
                )
                group.create_task(
                    self._send_command(
                        'endpoint-add',
                        base_version=0,
                        document=engine_document,
                        why=why,
                    )
                )
            service_document = make_service_document(
                SERVICE, DOMAINS[0], self._site.service_port
            )
            group.create_task(
                self._send_command(
                    'endpoint-add', base_version=0, document=service_document, why=why
                )
            )

    async def _send_command(self, verb: str, **arguments: object) -> dict[str, Any]:
        response = await self._site.operator.send(verb, arguments)
        if response.code is not ResultCode.OK:
            raise SavorychuteError(f'{verb}: {response.code.name}: {response.document}')
        return response.document


async def run_script(seed: int, report: ProgressReporter) -> tuple[Tally, DemoResult]:
    """Run the whole demonstration.

    :param seed: the seed of the random choices of load and stand-ins.
    :param report: receives progress messages for the user.
    """
    async with open_site(seed) as site:
        script = Script(site, report)
        result = await script.run()
        return script.tally, result
