"""Which other instances offer tunnels to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.paths.tunnel_offer import TunnelOffer, TunnelState

if TYPE_CHECKING:
    import random
    from collections.abc import Container

    from savorychute.http.client_pool import ServerAddress
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# Members probe each other at least once in 2 s while they are few.
MAX_OFFER_AGE_MS = 4_000
# How long an instance that did not answer is not asked again; the time doubles up to
# the maximum until it opens a tunnel.
MIN_BLOCK_MS = 1_000
MAX_BLOCK_MS = 4_000
# How long others are preferred to an instance that refused a tunnel to an endpoint; the
# endpoint may be down.
REFUSED_MS = 2_000
# Refusals that are remembered before those that have expired are removed.
MAX_REFUSALS = 1_024
# How long nobody is asked for an endpoint that no asked instance reached; each request
# goes on trying a direct connection.
UNREACHED_MS = 250


class Relay(NamedTuple):
    """An instance that offers tunnels, and the port to ask for them."""

    address: MemberAddress
    tunnel_port: int


class _Block(NamedTuple):
    until_ms: int
    duration_ms: int


class _ReportedOffer(NamedTuple):
    relay: Relay
    offer: TunnelOffer
    reported_ms: int


class RelayTable:
    """Records the offers of other instances, and chooses among them.

    :param failure_domain: the failure domain of this instance, which is preferred.
    :param rng: random number generator, which spreads the load.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._offers: dict[str, _ReportedOffer] = {}
        self._blocks: dict[str, _Block] = {}
        self._refused_until_ms: dict[tuple[str, ServerAddress], int] = {}
        self._unreached_until_ms: dict[ServerAddress, int] = {}
        self._view: MemberView | None = None

    def set_view(self, view: MemberView) -> None:
        """Set the current members; others are not used.

        :param view: the members.
        """
        if view is self._view:
            return
        self._view = view
        for name in [name for name in self._offers if not view.is_alive(name)]:
            del self._offers[name]
            self._blocks.pop(name, None)

    def record_offer(
        self, address: MemberAddress, offer: TunnelOffer, now_ms: int
    ) -> None:
        """Record what another instance offers.

        :param address: the instance.
        :param offer: its offer.
        :param now_ms: the current time.
        """
        relay = Relay(address, offer.port)
        self._offers[address.instance] = _ReportedOffer(relay, offer, now_ms)

    def record_failure(self, instance: str, now_ms: int) -> None:
        """Record that an instance did not answer.

        :param instance: its name.
        :param now_ms: the current time.
        """
        block = self._blocks.get(instance)
        duration_ms = MIN_BLOCK_MS
        if block is not None:
            duration_ms = min(2 * block.duration_ms, MAX_BLOCK_MS)
        self._blocks[instance] = _Block(now_ms + duration_ms, duration_ms)

    def record_refusal(
        self, instance: str, endpoint: ServerAddress, now_ms: int
    ) -> None:
        """Record that an instance refused a tunnel; it may reach other endpoints.

        :param instance: its name.
        :param endpoint: the endpoint.
        :param now_ms: the current time.
        """
        self._blocks.pop(instance, None)
        if len(self._refused_until_ms) >= MAX_REFUSALS:
            self._refused_until_ms = {
                key: until_ms
                for key, until_ms in self._refused_until_ms.items()
                if now_ms < until_ms
            }
        self._refused_until_ms[instance, endpoint] = now_ms + REFUSED_MS

    def record_unreached(self, endpoint: ServerAddress, now_ms: int) -> None:
        """Record that none of the instances that were asked reached an endpoint.

        :param endpoint: the endpoint.
        :param now_ms: the current time.
        """
        self._unreached_until_ms = {
            known: until_ms
            for known, until_ms in self._unreached_until_ms.items()
            if now_ms < until_ms
        }
        self._unreached_until_ms[endpoint] = now_ms + UNREACHED_MS

    def forget_endpoint(self, endpoint: ServerAddress) -> None:
        """Forget what was recorded of an endpoint that has ended.

        :param endpoint: its address, at which another one may start.
        """
        self._unreached_until_ms.pop(endpoint, None)
        for key in [key for key in self._refused_until_ms if key[1] == endpoint]:
            del self._refused_until_ms[key]

    def record_success(self, instance: str, endpoint: ServerAddress) -> None:
        """Record that an instance opened a tunnel.

        :param instance: its name.
        :param endpoint: the endpoint.
        """
        self._blocks.pop(instance, None)
        self._refused_until_ms.pop((instance, endpoint), None)
        self._unreached_until_ms.pop(endpoint, None)

    def choose(
        self, endpoint: ServerAddress, excluded: Container[str], now_ms: int
    ) -> Relay | None:
        """Return an instance to ask for a tunnel, or None if there is none.

        :param endpoint: the endpoint.
        :param excluded: names of instances that were asked already.
        :param now_ms: the current time.
        """
        if now_ms < self._unreached_until_ms.get(endpoint, 0):
            return None
        relays = [
            reported.relay
            for name, reported in self._offers.items()
            if name not in excluded and self._is_usable(name, reported, now_ms)
        ]
        if not relays:
            return None
        keys = [self._preference(relay, endpoint, now_ms) for relay in relays]
        best = min(keys)
        return self._rng.choice(
            [relay for relay, key in zip(relays, keys, strict=True) if key == best]
        )

    def _preference(
        self, relay: Relay, endpoint: ServerAddress, now_ms: int
    ) -> tuple[bool, bool]:
        """Return a key that is smaller for better relays."""
        key = (relay.address.instance, endpoint)
        has_refused = now_ms < self._refused_until_ms.get(key, 0)
        is_far = relay.address.failure_domain != self._failure_domain
        return has_refused, is_far

    def offers(self, instance: str) -> bool:
        """Return whether an instance goes on offering tunnels.

        :param instance: its name.
        """
        reported = self._offers.get(instance)
        return (
            reported is not None
            and reported.offer.state is TunnelState.OFFERED
            and not self._is_suspect(instance)
        )

    def is_alive(self, instance: str) -> bool:
        """Return whether tunnels through an instance can still carry responses.

        :param instance: its name.
        """
        view = self._view
        if view is None or self._is_suspect(instance):
            return False
        return view.is_alive(instance) or instance in view.leaving

    def has_path(self, instance: str) -> bool:
        """Return whether an instance is not known to have lost the path to endpoints.

        :param instance: its name.
        """
        reported = self._offers.get(instance)
        return reported is None or reported.offer.state is not TunnelState.NO_PATH

    def _is_usable(self, name: str, reported: _ReportedOffer, now_ms: int) -> bool:
        block = self._blocks.get(name)
        return (
            self.offers(name)
            and now_ms - reported.reported_ms <= MAX_OFFER_AGE_MS
            and (block is None or now_ms >= block.until_ms)
        )

    def _is_suspect(self, instance: str) -> bool:
        return self._view is not None and instance in self._view.suspects
