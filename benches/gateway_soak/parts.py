"""Requests with a part in their prompts on which endpoints crash."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import h11

from benches.gateway_soak.ledger import SentAttempt
from benches.gateway_soak.prompts import BAD_PART, make_prompt
from benches.gateway_soak.proxy import LOOPBACK

if TYPE_CHECKING:
    import random

    from benches.gateway_soak.endpoint import SoakEndpoint
    from benches.gateway_soak.site import GatewayProcess, Site

BAD_INTERVAL_S = 0.3
TRIES = 3
TRY_PAUSE_S = 0.1
# The crash that shows beyond doubt that a part is bad, and the time to learn of it.
DECISIVE_CRASH = 5
LEARNING_S = 3.0
MAX_LATE_ARRIVALS = 3
CRASH_DELAY_S = 0.03
DOWN_S = (1.0, 2.5)
READ_BYTES = 65_536


class PartChecker:
    """Sends requests with the bad part, crashes endpoints, and counts late arrivals.

    :param site: the gateways and endpoints.
    :param rng: random numbers for all choices.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._senders: dict[str, GatewayProcess] = {}
        self._arrivals: list[tuple[float, str]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.crash_times_s: list[float] = []
        site.on_bad_request = self._handle_bad_request

    async def run(self) -> None:
        """Send until the task is cancelled."""
        sent = 0
        while True:
            sent += 1
            self._start(self._send(f'bad-{sent}'))
            await asyncio.sleep(BAD_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    def _start(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, name: str) -> None:
        """Send a request up to three times, each time to any gateway."""
        prompt = make_prompt(self._rng, BAD_PART)
        for number in range(TRIES):
            gateway = self._rng.choice(self._site.gateways)
            sent = SentAttempt(f'{name}-{number}', 'bad', name.encode(), 1, 0.0)
            self._site.ledger.sent[sent.attempt] = sent
            self._senders[sent.attempt] = gateway
            with suppress(OSError, TimeoutError, h11.ProtocolError):
                async with asyncio.timeout(5.0):
                    await self._try(gateway, sent, prompt)
            await asyncio.sleep(TRY_PAUSE_S)

    async def _try(
        self, gateway: GatewayProcess, sent: SentAttempt, prompt: tuple[str, str]
    ) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, gateway.caller_port)
        head = h11.Request(
            method='POST',
            target='/stream/x',
            headers=[
                ('host', 'soak'),
                ('attempt-id', sent.attempt),
                ('deadline-ms', '4000'),
                ('authorization', 'Bearer soak-key'),
                ('token-count', '100,1'),
                prompt,
                ('content-length', str(len(sent.body))),
            ],
        )
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(http.send(head) or b'')
            writer.write(http.send(h11.Data(data=sent.body)) or b'')
            await reader.read(READ_BYTES)
        finally:
            writer.transport.abort()

    def _handle_bad_request(self, endpoint: SoakEndpoint, attempt: str) -> None:
        """Record an arrival; the endpoint crashes when it begins to answer."""
        self._arrivals.append((asyncio.get_running_loop().time(), attempt))
        self._start(self._crash(endpoint))

    async def _crash(self, endpoint: SoakEndpoint) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        if endpoint.crashed:
            return
        self.crash_times_s.append(asyncio.get_running_loop().time())
        endpoint.crashed = True
        assert endpoint.proxy is not None
        endpoint.proxy.close()
        await asyncio.sleep(self._rng.uniform(*DOWN_S))
        await self._site.add_endpoint(endpoint.service, endpoint.version)
        self._site.remove_entry(endpoint)

    def check(self) -> list[str]:
        """Return a violation if too many requests with the part came too late."""
        if len(self.crash_times_s) < DECISIVE_CRASH:
            return []
        known_s = self.crash_times_s[DECISIVE_CRASH - 1] + LEARNING_S
        late = [
            attempt
            for at_s, attempt in self._arrivals
            if at_s > known_s and self._is_in_touch(self._senders[attempt], at_s)
        ]
        if len(late) <= MAX_LATE_ARRIVALS:
            return []
        crashes = len(self.crash_times_s)
        return [f'{len(late)} requests with the bad part too late, {crashes} crashes']

    def _is_in_touch(self, gateway: GatewayProcess, at_s: float) -> bool:
        """Return whether a gateway was left alone for the time to learn."""
        events_s = [*gateway.events_s, *gateway.store.events_s]
        events_s += self._site.store_events_s
        return not any(at_s - LEARNING_S <= event_s <= at_s for event_s in events_s)
