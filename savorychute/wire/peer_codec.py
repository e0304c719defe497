"""Encoding and decoding of one instance's messages to and from its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.errors import SignatureError
from savorychute.wire.message_codec import decode_message, encode_message
from savorychute.wire.replay_window import ReplayWindow

if TYPE_CHECKING:
    from savorychute.wire.decoded_message import DecodedMessage
    from savorychute.wire.peer_keys import PeerKeys


class PeerCodec:
    """Numbers and signs outgoing messages, and verifies incoming ones.

    :param instance: this instance's name.
    :param incarnation: this instance's incarnation.
    :param keys: the keys of the settings; assign new ones to rotate them.
    """

    def __init__(self, instance: str, incarnation: int, keys: PeerKeys) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.keys = keys
        self._sequence = 0
        self._window = ReplayWindow()

    def encode(self, receiver: str, message: Any) -> bytes:
        """Return the signed frame for *receiver*.

        :param receiver: the only instance that may accept the frame.
        :param message: an instance of a registered peer message.
        :raises MessageError: if the message cannot be encoded.
        """
        self._sequence += 1
        return encode_message(
            self.instance,
            self.incarnation,
            message,
            self.keys,
            receiver,
            self._sequence,
        )

    def decode(self, data: bytes) -> DecodedMessage:
        """Return the message of a frame, which must be authentic and new.

        :param data: bytes from the network.
        :raises MessageError: if the bytes contain no message.
        :raises SignatureError: if the frame is not authentic, is addressed to
            another instance, or was accepted before.
        """
        decoded = decode_message(data, self.keys, self.instance)
        if not self._window.accept(
            decoded.sender, decoded.incarnation, decoded.sequence
        ):
            raise SignatureError(
                f'frame {decoded.sequence} of {decoded.sender!r} is a repetition'
            )
        return decoded

    def discard(self, instance: str) -> None:
        """Discard the state of a peer that has left permanently."""
        self._window.discard(instance)
