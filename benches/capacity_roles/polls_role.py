"""The role of an asker for the load of endpoints."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import h11
import msgspec

from benches.capacity_roles.measuring import time_us
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_endpoints, make_members
from benches.capacity_roles.target import SIZES, TARGET_MODELS
from savorychute.actions import PollEndpoint
from savorychute.clock import MS_PER_S
from savorychute.endpoints import DIALECTS
from savorychute.routing import EndpointTable, RoutingSettings

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.http.http_request import HttpRequest

DIALECT = 'openai-engine'
TICK_MS = 100
WINDOW_MS = 10_000
SUBSET = 16
CACHED_SINCE = 8
HASH_BITS = 62


@role(
    'load poller',
    'an instance asks the endpoints that it uses, at most a fixed number a second, '
    'over connections that stay open; the load also comes with grants of credit',
    'the reports themselves: each poll fetches a document over HTTP, and every '
    'instance asks for itself; a home that asks for all would divide that by the '
    'number of instances that share an endpoint',
    SIZES,
)
def measure_polls(instances: int) -> RoleSample:
    """Measure a book whose endpoints all have an attempt outstanding.

    Bytes are of HTTP requests and answers with eight new cache entries each,
    without the transport's headers.

    :param instances: the size of the system.
    """
    own = make_members(instances)[0]
    endpoints = make_endpoints(instances)
    used = choose_used(endpoints, own.region)
    answer = make_answer()
    dialect = DIALECTS.get(DIALECT)
    polls: list[PollEndpoint] = []

    def poll_all() -> None:
        polls.clear()
        book = EndpointTable(
            RoutingSettings(), Random(1), own.failure_domain, own.region
        )
        book.set_endpoints(endpoints)
        for number, name in enumerate(used):
            book.record_start(f'attempt-{number}', name, 100, 200, (), 0)
        for now_ms in range(0, WINDOW_MS, TICK_MS):
            for action in book.due_polls(now_ms):
                if not isinstance(action, PollEndpoint):
                    continue
                polls.append(action)
                report = dialect.read_load(action.endpoint, answer)
                if report is not None:
                    book.apply_report(report, now_ms)

    def build_only() -> None:
        book = EndpointTable(
            RoutingSettings(), Random(1), own.failure_domain, own.region
        )
        book.set_endpoints(endpoints)

    seconds = WINDOW_MS / MS_PER_S
    spent_us = max(0.0, time_us(poll_all) - time_us(build_only))
    asked = count_request_bytes(polls)
    answered = len(polls) * len(frame_answer(answer))
    return RoleSample(
        instances,
        sent_messages_per_s=len(polls) / seconds,
        received_messages_per_s=len(polls) / seconds,
        sent_bytes_per_s=asked / seconds,
        received_bytes_per_s=answered / seconds,
        processor_us_per_s=spent_us / seconds,
    )


def choose_used(endpoints: dict[str, EndpointDocument], region: str) -> list[str]:
    """Return up to 16 endpoints of each model in the region.

    :param endpoints: all of them.
    :param region: of the instance.
    """
    used: list[str] = []
    for model in range(TARGET_MODELS):
        serving = [
            name
            for name, document in endpoints.items()
            if document['region'] == region
            and f'model-{model}' in document.get('models', [])
        ]
        used += serving[:SUBSET]
    return used


def make_answer() -> bytes:
    """Return a load report as an engine sends it."""
    rng = Random(1)
    return msgspec.json.encode(
        {
            'age_ms': 120,
            'running': 57,
            'waiting': 3,
            'kv_free_share': 0.31,
            'step_ms': 9.7,
            'models': ['model-1'],
            'state': 'active',
            'cache_sequence': 123_456,
            'cached': [rng.getrandbits(HASH_BITS) for _ in range(CACHED_SINCE)],
            'evicted': [rng.getrandbits(HASH_BITS) for _ in range(CACHED_SINCE)],
            'cache_gap': False,
        }
    )


def frame_answer(body: bytes) -> bytes:
    """Return the answer as HTTP puts it on the wire.

    :param body: the JSON document.
    """
    server = h11.Connection(h11.SERVER)
    server.receive_data(b'GET / HTTP/1.1\r\nhost: engine\r\n\r\n')
    server.next_event()
    server.next_event()
    headers = [
        ('content-type', 'application/json'),
        ('content-length', str(len(body))),
    ]
    head = server.send(h11.Response(status_code=200, headers=headers)) or b''
    return head + (server.send(h11.Data(data=body)) or b'')


def count_request_bytes(polls: list[PollEndpoint]) -> int:
    """Return the bytes of all requests as HTTP puts them on the wire.

    :param polls: what was asked.
    """
    total = 0
    for poll in polls:
        request = DIALECTS.get(DIALECT).build_poll(poll)
        if request is not None:
            total += len(frame_request(request, f'{poll.host}:{poll.port}'))
    return total


def frame_request(request: HttpRequest, host: str) -> bytes:
    """Return a request as HTTP puts it on the wire.

    :param request: without a body.
    :param host: whom it goes to.
    """
    client = h11.Connection(h11.CLIENT)
    headers = [('host', host), *request.headers]
    event = h11.Request(method=request.method, target=request.target, headers=headers)
    return client.send(event) or b''
