"""Callers that send continuously and record every response."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import count
from typing import TYPE_CHECKING

import h11
from resuming_caller import ResumingCaller

from benches.gateway_soak.ledger import SentAttempt
from benches.gateway_soak.prompts import make_sound_prompt
from benches.gateway_soak.proxy import LOOPBACK

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from benches.gateway_soak.ledger import Ledger
    from benches.gateway_soak.site import Site

MAX_EVENTS = 20
# Streams of callers that take them up last up to two seconds.
LONG_EVENTS = (10, 100)
REQUEST_KINDS = ('twice', 'once', 'stream')
MAX_CONNECTION_REQUESTS = 30
PAUSE_S = 0.02
# Pause of a caller whose request failed, where endpoints are full at times.
REFUSED_PAUSE_S = 0.2
RESPONSE_TIMEOUT_S = 8.0
EARLY_CLOSE_SHARE = 0.03
READ_BYTES = 65_536


class Caller:
    """Sends several requests on one connection and closes some connections early.

    :param number: prefix that makes its attempt ids unique.
    :param site: the gateways to call.
    :param ledger: records attempts and responses.
    :param rng: random numbers for all choices.
    :param kinds: the kinds of request that it sends.
    :param is_lasting: whether it keeps a connection until the gateway ends it.
    """

    def __init__(
        self,
        number: int,
        site: Site,
        ledger: Ledger,
        rng: random.Random,
        kinds: Sequence[str] = REQUEST_KINDS,
        is_lasting: bool = False,
    ) -> None:
        self._number = number
        self._site = site
        self._ledger = ledger
        self._rng = rng
        self._kinds = kinds
        self._is_lasting = is_lasting
        self._sent = 0

    async def run(self) -> None:
        """Send until the task is cancelled."""
        while True:
            gateway = self._rng.choice(self._site.gateways)
            try:
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, gateway.caller_port
                )
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            with suppress(OSError, h11.RemoteProtocolError):
                await self._send_requests(reader, writer)
            writer.transport.abort()

    async def _send_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.CLIENT)
        limit = self._rng.randint(1, MAX_CONNECTION_REQUESTS)
        for number in count():
            if number == limit and not self._is_lasting:
                return
            sent = self._create_attempt()
            self._ledger.sent[sent.attempt] = sent
            prompt = []
            if self._site.on_bad_request is not None:
                prompt.append(make_sound_prompt(self._rng))
            writer.write(_encode(http, sent, prompt))
            if self._rng.random() < EARLY_CLOSE_SHARE and not self._is_lasting:
                await asyncio.sleep(self._rng.random() * 0.1)
                return
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    reusable = await self._read_response(http, reader, sent)
            except TimeoutError:
                self._ledger.record_unanswered(sent.attempt, 'timed-out')
                return
            except (OSError, h11.RemoteProtocolError):
                self._ledger.record_unanswered(sent.attempt)
                return
            if not reusable:
                return
            http.start_next_cycle()
            await asyncio.sleep(self._rng.random() * PAUSE_S)
            if self._site.has_small_endpoints and not self._ledger.served(sent.attempt):
                await asyncio.sleep(self._rng.random() * REFUSED_PAUSE_S)

    async def _read_response(
        self, http: h11.Connection, reader: asyncio.StreamReader, sent: SentAttempt
    ) -> bool:
        """Read one response; return whether the connection is reusable."""
        status = 0
        headers: dict[str, str] = {}
        body = b''
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                self._ledger.record_status(sent.attempt, status)
                headers = {
                    name.decode(): value.decode() for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._ledger.record_response(sent.attempt, status, headers, body)
                return http.our_state is h11.DONE is http.their_state
            elif isinstance(event, h11.ConnectionClosed):
                self._ledger.record_unanswered(sent.attempt)
                return False

    def _create_attempt(self) -> SentAttempt:
        self._sent += 1
        attempt = f'c{self._number}-{self._sent}'
        kind = self._rng.choice(self._kinds)
        events = self._rng.randint(1, MAX_EVENTS)
        now_s = asyncio.get_running_loop().time()
        return SentAttempt(attempt, kind, attempt.encode(), events, now_s)


class StreamCaller:
    """Takes its streams up where they break off, at any gateway.

    :param number: prefix that makes its attempt ids unique.
    :param site: the gateways to call.
    :param ledger: records attempts and streams.
    :param rng: random numbers for all choices.
    """

    def __init__(
        self, number: int, site: Site, ledger: Ledger, rng: random.Random
    ) -> None:
        self._number = number
        self._site = site
        self._ledger = ledger
        self._rng = rng

    async def run(self) -> None:
        """Send until the task is cancelled."""
        sent = 0
        while True:
            sent += 1
            await self._send(f's{self._number}-{sent}')
            await asyncio.sleep(self._rng.random() * PAUSE_S)

    async def _send(self, name: str) -> None:
        events = self._rng.randint(*LONG_EVENTS)

        def record_try(attempt: str) -> None:
            now_s = asyncio.get_running_loop().time()
            self._ledger.sent[attempt] = SentAttempt(
                attempt, 'stream', b'', events, now_s
            )

        caller = ResumingCaller(
            self._rng,
            lambda: [(LOOPBACK, each.caller_port) for each in self._site.gateways],
            asyncio.get_running_loop().time,
            on_try=record_try,
        )
        headers = [
            ('host', 'soak'),
            ('authorization', 'Bearer soak-key'),
            ('token-count', f'100,{events}'),
        ]
        if self._site.on_bad_request is not None:
            headers.append(make_sound_prompt(self._rng))
        stream = await caller.call(name, headers, '/stream/x', deadline_s=5.0)
        self._ledger.record_stream(stream, events)


def _encode(
    http: h11.Connection, sent: SentAttempt, prompt: list[tuple[str, str]]
) -> bytes:
    headers = [
        ('host', 'soak'),
        ('attempt-id', sent.attempt),
        ('deadline-ms', '5000'),
        ('authorization', 'Bearer soak-key'),
        ('token-count', f'100,{sent.events}'),
        ('content-length', str(len(sent.body))),
        *prompt,
    ]
    head = h11.Request(method='POST', target=f'/{sent.kind}/x', headers=headers)
    return (
        (http.send(head) or b'')
        + (http.send(h11.Data(data=sent.body)) or b'')
        + (http.send(h11.EndOfMessage()) or b'')
    )
