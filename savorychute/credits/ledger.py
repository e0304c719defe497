"""The credits of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.settings import CreditSettings
    from savorychute.membership import MemberView


class _Use(NamedTuple):
    endpoint: str
    tokens: int


class CreditLedger:
    """What this instance may use of each endpoint, and what it uses.

    :param settings: durations and sizes.
    :param instance: this instance's name.
    :param rng: spreads reports over time.
    """

    def __init__(
        self, settings: CreditSettings, instance: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.instance = instance
        self._rng = rng
        self._endpoints: dict[str, EndpointDocument] = {}
        self._uses: dict[str, _Use] = {}
        self._in_use: dict[str, int] = {}
        self._tokens_in_use: dict[str, int] = {}
        self._member_count = 1

    def set_endpoints(self, endpoints: dict[str, EndpointDocument]) -> None:
        """Replace the endpoints.

        :param endpoints: by name.
        """
        self._endpoints = dict(endpoints)

    def candidates(self, pool: str) -> tuple[str, ...]:
        """Return the endpoints of a pool that this instance uses.

        :param pool: a model or ``service:`` and a service.
        """
        names = [
            name
            for name, document in self._endpoints.items()
            if document['state'] == 'active' and pool in _pools_of(document)
        ]
        names.sort(key=self._score)
        return tuple(names[: self.settings.subset_size])

    def _score(self, endpoint: str) -> int:
        return xxhash.xxh64_intdigest(f'{self.instance}|{endpoint}'.encode())

    def available(self, endpoint: str, tier: int) -> int:  # noqa: ARG002
        """Return how many requests may start at an endpoint now.

        :param endpoint: its name.
        :param tier: of the requests.
        """
        document = self._endpoints.get(endpoint)
        if document is None:
            return 0
        share = max(1, document['concurrent_requests'] // self._member_count)
        return max(0, share - self._in_use.get(endpoint, 0))

    def take(
        self,
        endpoint: str,
        attempt_id: str,
        tier: int,
        expected_tokens: int,
        now_ms: int,  # noqa: ARG002
    ) -> bool:
        """Use a credit for an attempt; return whether there was one.

        :param endpoint: its name.
        :param attempt_id: what uses it.
        :param tier: of the request.
        :param expected_tokens: how much it may generate.
        :param now_ms: the time.
        """
        if self.available(endpoint, tier) < 1:
            return False
        self._uses[attempt_id] = _Use(endpoint, expected_tokens)
        self._in_use[endpoint] = self._in_use.get(endpoint, 0) + 1
        tokens = self._tokens_in_use.get(endpoint, 0)
        self._tokens_in_use[endpoint] = tokens + expected_tokens
        return True

    def give_back(self, attempt_id: str, now_ms: int) -> None:  # noqa: ARG002
        """Return the credit of an attempt that has ended.

        :param attempt_id: what used it; an unknown one is ignored.
        :param now_ms: the time.
        """
        use = self._uses.pop(attempt_id, None)
        if use is not None:
            self._in_use[use.endpoint] -= 1
            self._tokens_in_use[use.endpoint] -= use.tokens

    def set_demand(self, pool: str, by_tier: dict[int, int], now_ms: int) -> None:
        """Note how many requests wait for a pool.

        :param pool: where they wait.
        :param by_tier: their number by tier.
        :param now_ms: the time.
        """

    def receive(
        self,
        sender: str,  # noqa: ARG002
        message: tuple[object, ...],  # noqa: ARG002
        view: MemberView,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> list[Action]:
        """Take in a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: who is alive.
        :param now_ms: the time.
        """
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:  # noqa: ARG002
        """Do what is due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        self._member_count = max(1, len(view.alive))
        return []

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:  # noqa: ARG002
        """Return what is unused, before this instance goes.

        :param view: who is alive.
        :param now_ms: the time.
        """
        return []


def _pools_of(document: EndpointDocument) -> set[str]:
    pools = set(document.get('models', ()))
    if 'service' in document:
        pools.add(f'service:{document["service"]}')
    return pools
