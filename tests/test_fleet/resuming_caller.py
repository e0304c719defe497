"""A caller that takes a stream up again where it broke off."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import NamedTuple

import h11

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# A caller abandons a stream after such a gap, also before its first event.
MAX_GAP_S = 2.0
PAUSE_S = 0.1
NOT_RUN_STATUSES = (408, 421, 429, 503)
STATUS_OK = 200
# A caller follows a Retry-After up to this share of the time that it has left.
RETRY_AFTER_SHARE = 1 / 3


class Try(NamedTuple):
    """One attempt of a caller: when it began, whether it took a stream up, its status.

    ``status`` is 0 if there was no response; ``first_event`` is false if the attempt
    brought no event.
    """

    attempt: str
    began_s: float
    resumed: bool
    status: int
    first_event: bool
    refusal: str = ''


class Event(NamedTuple):
    """One event, and the attempt of the caller that brought it."""

    number: int
    data: str
    attempt: str


class Stream(NamedTuple):
    """What a caller received over all its tries, in order."""

    events: tuple[Event, ...]
    whole: bool
    tries: tuple[Try, ...]

    @property
    def resumptions(self) -> list[Try]:
        """The tries that took the stream up."""
        return [each for each in self.tries if each.resumed]


class ResumingCaller:
    """Sends requests for streams, and takes up those that break off.

    Each try is sent on a new connection to any instance.  Once it has received an event,
    the caller names in each further try the attempt that brought the first event.

    :param rng: selects the instances.
    :param addresses: returns the addresses of instances as (host, port).
    :param now_s: returns the time.
    :param on_try: called with the id of each attempt before it is sent.
    :param on_sent: called with the id of each attempt and the address it is sent to.
    """

    def __init__(self, rng, addresses, now_s, max_tries=6, on_try=None, on_sent=None):
        self._rng = rng
        self._addresses = addresses
        self._now_s = now_s
        self._max_tries = max_tries
        self._on_try = on_try
        self._on_sent = on_sent

    async def call(self, name, headers, path='/s/1', body=b'', deadline_s=8.0):
        """Return the stream as received until its end, or until the deadline.

        :param name: begins the ids of the attempts.
        :param headers: headers of all tries.
        :param path: the target.
        :param body: the body.
        :param deadline_s: how long the caller waits in all.
        """
        ends_s = self._now_s() + deadline_s
        events, tries = [], []
        first_attempt = ''
        while len(tries) < self._max_tries and self._now_s() < ends_s:
            attempt = f'{name}-{len(tries) + 1}'
            remaining_s = ends_s - self._now_s()
            extra = [
                ('attempt-id', attempt),
                ('deadline-ms', str(int(remaining_s * 1000))),
            ]
            if events:
                extra += [('last-event-id', str(events[-1].number))]
                extra += [('resumes', first_attempt)]
            if self._on_try is not None:
                self._on_try(attempt)
            reply = _Reply(attempt, events)
            began_s, count = self._now_s(), len(events)
            with suppress(TimeoutError, OSError, h11.ProtocolError):
                async with asyncio.timeout(remaining_s):
                    await self._try(path, [*headers, *extra], body, reply)
            has_event = len(events) > count
            if has_event and not first_attempt:
                first_attempt = attempt
            refusal = '' if reply.status == STATUS_OK else reply.body.decode()
            tries.append(
                Try(attempt, began_s, bool(count), reply.status, has_event, refusal)
            )
            if reply.whole and reply.status not in (0, 500, 502, *NOT_RUN_STATUSES):
                return Stream(tuple(events), reply.status == STATUS_OK, tuple(tries))
            pause_s = min(reply.retry_after_s, (ends_s - self._now_s()) / 3)
            await asyncio.sleep(max(PAUSE_S, pause_s))
        return Stream(tuple(events), False, tuple(tries))

    async def _try(self, path, headers, body, reply):
        address = self._rng.choice(self._addresses())
        if self._on_sent is not None:
            self._on_sent(reply.attempt, address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [*headers, ('content-length', str(len(body)))]
            head = h11.Request(method='POST', target=path, headers=headers)
            writer.write(http.send(head))
            writer.write(http.send(h11.Data(data=body)) or b'')
            writer.write(http.send(h11.EndOfMessage()) or b'')
            await _read_response(http, reader, reply)
        finally:
            writer.transport.abort()


class _Reply:
    """The response to one try; adds the events that it brings."""

    def __init__(self, attempt, events):
        self.attempt = attempt
        self.events = events
        self.status = 0
        self.retry_after_s = 0.0
        self.body = b''
        self.whole = False

    def add_event(self, text):
        number, data = text.split(b'\n')
        number, data = number.removeprefix(b'id: '), data.removeprefix(b'data: ')
        self.events.append(Event(int(number), data.decode(), self.attempt))


async def _read_response(http, reader, reply):
    """Read a response; add the events of a stream as they become complete."""
    partial = b''
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(MAX_GAP_S):
                http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            fields = dict(event.headers)
            reply.retry_after_s = float(fields.get(b'retry-after', 0))
        elif isinstance(event, h11.Data):
            if reply.status != STATUS_OK:
                reply.body += bytes(event.data)
                continue
            *complete, partial = (partial + bytes(event.data)).split(b'\n\n')
            for text in complete:
                reply.add_event(text)
        elif isinstance(event, h11.EndOfMessage):
            reply.whole = True
            return
        else:
            return
