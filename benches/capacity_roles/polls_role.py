"""Costs of polling endpoints for their load."""

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
MAX_ENDPOINTS_PER_MODEL = 16
NEW_CACHE_ENTRIES = 8
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
    """Measure a table whose endpoints all have an outstanding attempt.

    Bytes are those of HTTP requests, and of responses with eight new cache entries
    each, without the headers of the transport.

    :param instances: the size of the system.
    """
    own = make_members(instances)[0]
    endpoints = make_endpoints(instances)
    polled = choose_polled(endpoints, own.region)
    load_report = make_load_report()
    dialect = DIALECTS.get(DIALECT)
    polls: list[PollEndpoint] = []

    def poll_all() -> None:
        polls.clear()
        table = EndpointTable(
            RoutingSettings(), Random(1), own.failure_domain, own.region
        )
        table.set_endpoints(endpoints)
        for number, name in enumerate(polled):
            table.record_start(f'attempt-{number}', name, 100, 200, (), 0)
        for now_ms in range(0, WINDOW_MS, TICK_MS):
            for action in table.due_polls(now_ms):
                if not isinstance(action, PollEndpoint):
                    continue
                polls.append(action)
                report = dialect.read_load(action.endpoint, load_report)
                if report is not None:
                    table.apply_report(report, now_ms)

    def build_table() -> None:
        table = EndpointTable(
            RoutingSettings(), Random(1), own.failure_domain, own.region
        )
        table.set_endpoints(endpoints)

    seconds = WINDOW_MS / MS_PER_S
    spent_us = max(0.0, time_us(poll_all) - time_us(build_table))
    request_bytes = count_request_bytes(polls)
    response_bytes = len(polls) * len(frame_response(load_report))
    return RoleSample(
        instances,
        sent_messages_per_s=len(polls) / seconds,
        received_messages_per_s=len(polls) / seconds,
        sent_bytes_per_s=request_bytes / seconds,
        received_bytes_per_s=response_bytes / seconds,
        processor_us_per_s=spent_us / seconds,
    )


def choose_polled(endpoints: dict[str, EndpointDocument], region: str) -> list[str]:
    """Return up to 16 endpoints of each model in the region.

    :param endpoints: all endpoints.
    :param region: the region of the instance.
    """
    polled: list[str] = []
    for model in range(TARGET_MODELS):
        serving = [
            name
            for name, document in endpoints.items()
            if document['region'] == region
            and f'model-{model}' in document.get('models', [])
        ]
        polled += serving[:MAX_ENDPOINTS_PER_MODEL]
    return polled


def make_load_report() -> bytes:
    """Return a load report in the form that an engine sends."""
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
            'cached': [rng.getrandbits(HASH_BITS) for _ in range(NEW_CACHE_ENTRIES)],
            'evicted': [rng.getrandbits(HASH_BITS) for _ in range(NEW_CACHE_ENTRIES)],
            'cache_gap': False,
        }
    )


def frame_response(body: bytes) -> bytes:
    """Return a response as HTTP sends it.

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
    """Return the total size of requests as HTTP sends them.

    :param polls: the polls to encode.
    """
    total = 0
    for poll in polls:
        request = DIALECTS.get(DIALECT).build_poll(poll)
        if request is not None:
            total += len(frame_request(request, f'{poll.host}:{poll.port}'))
    return total


def frame_request(request: HttpRequest, host: str) -> bytes:
    """Return a request as HTTP sends it.

    :param request: a request without a body.
    :param host: value of the ``Host`` header.
    """
    client = h11.Connection(h11.CLIENT)
    headers = [('host', host), *request.headers]
    event = h11.Request(method=request.method, target=request.target, headers=headers)
    return client.send(event) or b''
