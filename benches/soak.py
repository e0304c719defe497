"""A soak test of daemon processes that are killed, stopped and replaced.

``make soak`` runs it for 1 minute, ``python -m benches.soak --seconds 600`` for
longer.  The last line of the output is a JSON object with the counts.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any

from benches.soak_site import ProcessSite, make_directory
from savorychute.client import ClientSettings, open_client
from savorychute.demo.caller import Caller
from savorychute.demo.demo_class import SERVICE, list_classes
from savorychute.demo.documents import (
    make_contract,
    make_engine_document,
    make_service_document,
    make_token,
)
from savorychute.demo.site import DOMAINS
from savorychute.demo.tally import Tally
from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode
from savorychute.testing.stand_in_http import loop_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from savorychute.client import Client
    from savorychute.demo.demo_class import DemoClass

ORGANISATIONS = ('malanadu', 'hooghly')
INSTANCES = 4
RATE_PER_S = 8.0
MEAN_TOKENS = 30
FAULT_INTERVAL_S = 4.0
PAUSE_S = 4.0
OUTAGE_S = 3.0
READY_TIMEOUT_S = 40.0
COMMAND_RETRY_S = 0.5
CALLS_TIMEOUT_S = 200.0


class Soak:
    """Generates the load, injects faults and counts the results.

    :param site: the site to disturb.
    :param seconds: duration of the load.
    :param rng: chooses lengths, times and the targets of faults.
    """

    def __init__(self, site: ProcessSite, seconds: float, rng: random.Random) -> None:
        self._site = site
        self._seconds = seconds
        self._rng = rng
        self._classes = list_classes(RATE_PER_S)
        self._tally = Tally(self._classes)
        self._fault_counts: Counter[str] = Counter()
        self._calls: list[asyncio.Task[None]] = []
        self._call_count = 0
        self._instance_count = INSTANCES

    async def run(self) -> dict[str, Any]:
        """Configure the site, inject faults under load, and return the counts."""
        for number in range(INSTANCES):
            domain = DOMAINS[number % len(DOMAINS)]
            await self._site.start_instance(f'entry-{number + 1}', domain)
        await self._configure()
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
                    group.create_task(
                        self._generate_load(
                            clients[demo_class.organisation], demo_class
                        )
                    )
                group.create_task(self._inject_faults())
            async with asyncio.timeout(CALLS_TIMEOUT_S):
                await asyncio.gather(*self._calls)
        return self._summarise()

    async def _configure(self) -> None:
        classes = self._classes
        for organisation in ORGANISATIONS:
            await self._send_until_accepted(
                'contract-amend',
                organisation=organisation,
                base_version=0,
                document=make_contract(organisation, classes),
                why='soak',
            )
        for name, engine in self._site.engines.items():
            domain = self._site.domains[name]
            document = make_engine_document(name, domain, engine.port, 16)
            await self._send_until_accepted(
                'endpoint-add', document=document, base_version=0, why='soak'
            )
        document = make_service_document(
            f'{SERVICE}-1', DOMAINS[0], self._site.service_port
        )
        await self._send_until_accepted(
            'endpoint-add', document=document, base_version=0, why='soak'
        )
        await asyncio.sleep(3)

    async def _send_until_accepted(self, verb: str, **arguments: object) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                code = await self._send(verb, arguments)
                if code is ResultCode.OK:
                    return
                self._fault_counts[f'operator heard {code.name}'] += 1
                await asyncio.sleep(COMMAND_RETRY_S)

    async def _send(self, verb: str, arguments: object) -> ResultCode:
        try:
            response = await self._site.operator.send(verb, arguments)
        except SavorychuteError as error:
            return error.code
        return response.code

    async def _generate_load(self, client: Client, demo_class: DemoClass) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds
        while loop.time() < end_s:
            await asyncio.sleep(self._rng.expovariate(demo_class.rate_per_s))
            self._call_count += 1
            tokens = max(1, int(self._rng.expovariate(1 / MEAN_TOKENS)))
            caller = Caller(client, demo_class, f'soak-{self._call_count}', tokens)
            self._calls.append(asyncio.create_task(caller.run(self._tally)))

    async def _inject_faults(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._pause,
            self._crash_engine,
            self._replace,
            self._log_outage,
        ]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds - FAULT_INTERVAL_S
        number = 0
        while loop.time() < end_s:
            await asyncio.sleep(FAULT_INTERVAL_S)
            fault = faults[number % len(faults)]
            self._fault_counts[fault.__name__.strip('_')] += 1
            print(f'{loop_ms():.0f} ms: {fault.__name__.strip("_")}', flush=True)
            await fault()
            number += 1

    def _choose_instance(self) -> str:
        return self._rng.choice(sorted(self._site.daemons))

    async def _start_another(self) -> None:
        self._instance_count += 1
        domain = DOMAINS[self._instance_count % len(DOMAINS)]
        await self._site.start_instance(f'entry-{self._instance_count}', domain)

    async def _kill(self) -> None:
        await self._site.kill_instance(self._choose_instance())
        await self._start_another()

    async def _pause(self) -> None:
        await self._site.pause_instance(self._choose_instance(), PAUSE_S)

    async def _replace(self) -> None:
        name = self._choose_instance()
        await self._start_another()
        await self._site.stop_instance(name)

    async def _crash_engine(self) -> None:
        engine = self._site.engines[self._rng.choice(sorted(self._site.engines))]
        engine.crash()
        await asyncio.sleep(OUTAGE_S)
        engine.engine.restart(loop_ms())

    async def _log_outage(self) -> None:
        self._site.log.is_up = False
        await asyncio.sleep(OUTAGE_S)
        self._site.log.is_up = True

    def _summarise(self) -> dict[str, Any]:
        ran_twice = [
            count for count in self._site.service.bodies_executed.values() if count > 1
        ]
        result: dict[str, Any] = dict(
            self._tally.summarise(
                len(ran_twice) + self._count_repeated_streams(),
                self._site.count_generated_tokens(),
                int(self._seconds * 1_000),
            )
        )
        result['calls'] = self._tally.calls
        result['troubles'] = dict(self._fault_counts)
        result['exit_codes_after_term'] = self._site.exit_codes
        return result

    def _count_repeated_streams(self) -> int:
        """Return how many non-idempotent prompts ran more than once."""
        prompt_prefixes = tuple(
            f'{demo_class.call_class.name}:'
            for demo_class in self._classes
            if not demo_class.call_class.idempotent
            and not demo_class.call_class.service
        )
        execution_counts: Counter[str] = Counter()
        for server in self._site.engines.values():
            for prompt, count in server.engine.prompts_executed.items():
                if prompt.startswith(prompt_prefixes):
                    execution_counts[prompt] += count
        return sum(1 for count in execution_counts.values() if count > 1)


async def run_soak(seconds: float, seed: int) -> dict[str, Any]:
    """Run a soak and return its counts.

    :param seconds: duration of the load.
    :param seed: seed of load, faults and stand-ins; sockets still make runs differ.
    """
    with make_directory() as directory:
        site = ProcessSite(seed, Path(directory))
        async with AsyncExitStack() as stack:
            await site.start_stand_ins(stack)
            try:
                return await Soak(site, seconds, random.Random(seed)).run()
            finally:
                await site.close()


def main() -> int:
    """Run the soak from the command line; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog='python -m benches.soak')
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    result = asyncio.run(run_soak(arguments.seconds, arguments.seed))
    print(json.dumps(result))
    violations = result['lost'] + result['duplicated'] + result['truncated']
    failed_exit = any(code != 0 for code in result['exit_codes_after_term'])
    return 1 if violations or failed_exit else 0


if __name__ == '__main__':
    sys.exit(main())
