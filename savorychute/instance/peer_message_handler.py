"""Pass peer messages to the parts that handle them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.recovery import LeavingNews

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs import PeerReceived
    from savorychute.instance.key_handler import KeyHandler
    from savorychute.instance.parts import InstanceParts

PACKAGE_INDEX = 1


class PeerMessageHandler:
    """Dispatches by the package that defines the message's type.

    :param parts: the parts of the instance.
    :param key_handler: handles the outcomes of the key manager.
    """

    def __init__(self, parts: InstanceParts, key_handler: KeyHandler) -> None:
        self._parts = parts
        self._key_handler = key_handler
        self._receivers = {
            'membership': self._receive_membership,
            'configuration': self._receive_configuration,
            'credits': self._receive_credits,
            'limits': self._receive_limits,
            'recovery': self._receive_recovery,
            'requests': self._receive_requests,
        }

    def receive(self, received: PeerReceived, now_ms: int) -> list[Action]:
        """Pass a message to its part; drop one of an unknown kind."""
        package = type(received.message).__module__.split('.')[PACKAGE_INDEX]
        receiver = self._receivers.get(package)
        if receiver is None:
            return []
        return receiver(received, now_ms)

    def _receive_membership(self, received: PeerReceived, now_ms: int) -> list[Action]:
        membership = self._parts.membership
        return membership.receive(received.sender, received.message, now_ms)

    def _receive_configuration(
        self, received: PeerReceived, now_ms: int
    ) -> list[Action]:
        parts = self._parts
        return parts.configuration.receive(
            received.sender, received.message, parts.membership.view(), now_ms
        )

    def _receive_credits(self, received: PeerReceived, now_ms: int) -> list[Action]:
        parts = self._parts
        return parts.credits.receive(
            received.sender, received.message, parts.membership.view(), now_ms
        )

    def _receive_limits(self, received: PeerReceived, now_ms: int) -> list[Action]:
        parts = self._parts
        return parts.limiter.receive(
            received.sender, received.message, parts.membership.view(), now_ms
        )

    def _receive_recovery(self, received: PeerReceived, now_ms: int) -> list[Action]:
        parts = self._parts
        message = received.message
        if isinstance(message, LeavingNews):
            for endpoint in message.endpoints:
                if parts.leaving.record(endpoint, now_ms):
                    parts.ejector.mark_leaving(endpoint, now_ms)
            return parts.leaving.broadcast(parts.membership.view())
        return parts.quarantine.receive(received.sender, message, now_ms)

    def _receive_requests(self, received: PeerReceived, now_ms: int) -> list[Action]:
        parts = self._parts
        outcomes = parts.keys.receive(
            received.sender, received.message, parts.membership.view(), now_ms
        )
        return self._key_handler.handle_outcomes(outcomes, now_ms)
