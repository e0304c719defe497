"""Shapes of responses that don't state what happened to the request they come for."""

from __future__ import annotations

import asyncio
from itertools import product
from typing import TYPE_CHECKING, NamedTuple

from benches.gateway_soak.answers import KEEP_ALIVE, encode
from benches.gateway_soak.ledger import NOT_EXECUTED_STATUSES, STATUS_OK

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from benches.gateway_soak.site import Site

STATUS_ERROR = 500
STATUS_MISDIRECTED = 421
CHANGE_INTERVAL_S = 2.0
# Share of the endpoints that are faulty at a time, and of their responses that are.
FAULTY_SHARE = 0.6
SHAPE_SHARE = 0.06


class Shape(NamedTuple):
    """A response that comes late for an earlier request, or after the request ran.

    :param status: its status.
    :param is_extra: it comes in addition, where the next response is expected.
    :param is_named: it bears the id of the request that it was sent for.
    :param says_not_run: it states that the request didn't run.
    :param is_proven: it bears a proof of the endpoint.
    """

    status: int
    is_extra: bool
    is_named: bool
    says_not_run: bool
    is_proven: bool

    @property
    def name(self) -> str:
        """Its name on the command line."""
        parts = [
            'extra' if self.is_extra else 'own',
            str(self.status),
            'named' if self.is_named else 'unnamed',
            'not-run' if self.says_not_run else '',
            'proven' if self.is_proven else '',
        ]
        return '-'.join(part for part in parts if part)

    @property
    def is_success(self) -> bool:
        """Whether it says that the request succeeded."""
        return self.status == STATUS_OK

    def make_headers(self, attempt: str, proof: str) -> tuple[tuple[str, str], ...]:
        """Return its headers.

        :param attempt: the attempt that it was sent for.
        :param proof: a proof of the endpoint.
        """
        headers = list(KEEP_ALIVE)
        if self.is_named:
            headers.append(('attempt-id', attempt))
        if self.says_not_run:
            headers.append(('not-executed', '1'))
        if self.is_proven:
            headers.append(('server-signature', proof))
        return tuple(headers)

    def encode(self, attempt: str, proof: str, body: bytes) -> bytes:
        """Return its bytes."""
        return encode(self.status, self.make_headers(attempt, proof), body)


def _make_shapes() -> dict[str, Shape]:
    shapes = [
        Shape(status, True, is_named, says_not_run, False)
        for status, is_named, says_not_run in product(
            NOT_EXECUTED_STATUSES, (True, False), (True, False)
        )
    ]
    shapes += [
        Shape(STATUS_OK, True, is_named, False, True) for is_named in (True, False)
    ]
    shapes.append(Shape(STATUS_OK, True, False, False, False))
    own_statuses = [
        status for status in NOT_EXECUTED_STATUSES if status != STATUS_MISDIRECTED
    ]
    shapes += [
        Shape(status, False, True, False, is_proven)
        for status, is_proven in product(own_statuses, (True, False))
    ]
    # What a sound endpoint sends after a request that it ran and that failed.
    shapes.append(Shape(STATUS_ERROR, False, True, False, True))
    return {shape.name: shape for shape in shapes}


SHAPES = _make_shapes()


class ShapeFaults:
    """Lets some endpoints send responses of some shapes.

    :param site: the gateways and endpoints.
    :param rng: random numbers for all choices.
    :param names: the names of the shapes, of which each endpoint uses one at a time.
    :param share: share of the responses of a faulty endpoint that have its shape.
    """

    def __init__(
        self,
        site: Site,
        rng: random.Random,
        names: Sequence[str],
        share: float = SHAPE_SHARE,
    ) -> None:
        self._site = site
        self._share = share
        self._rng = rng
        self._shapes = [SHAPES[name] for name in names]

    async def run(self) -> None:
        """Change which endpoints are faulty until the task is cancelled."""
        try:
            while True:
                for service in ('desk', 'pool'):
                    self._change(service)
                await asyncio.sleep(CHANGE_INTERVAL_S)
        finally:
            for endpoint in self._site.endpoints:
                endpoint.shape = None

    def _change(self, service: str) -> None:
        endpoints = [each for each in self._site.endpoints if each.service == service]
        count = round(FAULTY_SHARE * len(endpoints))
        faulty = self._rng.sample(endpoints, count)
        for endpoint in endpoints:
            endpoint.shape = (
                self._rng.choice(self._shapes) if endpoint in faulty else None
            )
            endpoint.shape_share = self._share
            endpoint.stated_headers = KEEP_ALIVE
