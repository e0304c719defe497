"""What an instance tells others about tunnels through it."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

# Values of the message field in place of a port.
NOT_OFFERED = 0
NO_PATH = -1


class TunnelState(Enum):
    """Whether an instance offers tunnels.

    ``NOT_OFFERED``: it is leaving, or its build offers none.  ``NO_PATH``: it has lost
    its own path to the endpoints.
    """

    OFFERED = auto()
    NOT_OFFERED = auto()
    NO_PATH = auto()


class TunnelOffer(NamedTuple):
    """The state of an offer; ``port`` is 0 unless tunnels are offered."""

    state: TunnelState = TunnelState.NOT_OFFERED
    port: int = 0


def encode_offer(offer: TunnelOffer) -> int:
    """Return the value of the message field for an offer.

    :param offer: the offer.
    """
    return NO_PATH if offer.state is TunnelState.NO_PATH else offer.port


def decode_offer(value: int) -> TunnelOffer:
    """Return the offer that a message field stands for.

    :param value: the value of the field.
    """
    if value == NO_PATH:
        return TunnelOffer(TunnelState.NO_PATH)
    if value <= NOT_OFFERED:
        return TunnelOffer()
    return TunnelOffer(TunnelState.OFFERED, value)
