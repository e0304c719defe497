"""Encoding and decoding of signed peer messages."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING, Any

import capnp

from savorychute.errors import MessageError
from savorychute.wire.decoded_message import DecodedMessage
from savorychute.wire.peer_messages import PEER_MESSAGES
from savorychute.wire.schema_writer import SCHEMA_PATH
from savorychute.wire.signature import FRAME_HEADER, sign_envelope, verify_frame
from savorychute.wire.struct_codec import StructCodec

if TYPE_CHECKING:
    from pathlib import Path

    from savorychute.wire.peer_keys import PeerKeys

MAX_FRAME_BYTES = 1 << 19
# Packed bytes can expand by a factor of 1000, and decoding a list of a million empty
# records blocks the event loop for more than a second.
MAX_DECODED_WORDS = 1 << 17
MAX_NESTING = 16
MAX_ENVELOPE_BYTES = MAX_FRAME_BYTES - FRAME_HEADER.size
# Raised by the codec for bytes that do not match the schema: its own exception, text
# that is not UTF-8, an undefined enum value, a number out of range.
DECODE_ERRORS = (capnp.KjException, ValueError, TypeError, OverflowError)
ENCODE_ERRORS = (*DECODE_ERRORS, AttributeError)


class MessageCodec:
    """Encodes and decodes the messages of one schema file.

    :param path: the schema written by :mod:`savorychute.wire.schema_writer`.
    :param messages: the NamedTuple classes by tag.
    """

    def __init__(self, path: Path, messages: dict[int, type]) -> None:
        # Uses a separate parser, because the library's shared one aborts the process
        # if two files have the same id.  It must outlive the schemas that it loaded.
        self._parser = capnp.SchemaParser()
        self._schema = self._parser.load(str(path))
        self._messages = messages
        self._structs: dict[int, StructCodec] = {}
        self._tags: dict[type, int] = {}
        fields = self._schema.Envelope.schema.fields
        self._sender = fields['sender']
        self._incarnation = fields['incarnation']
        self._sequence = fields['sequence']
        self._kind = fields['kind']
        self._body = fields['body']

    def encode(
        self, sender: str, incarnation: int, sequence: int, message: Any
    ) -> bytes:
        """Return the packed envelope of *message*.

        :raises MessageError: if the message is not registered, or a value
            does not match the type of its field.
        """
        tag = self._find_tag(type(message))
        codec = self._find_struct(tag)
        try:
            body = codec.struct.new_message()
            codec.fill(body, message)
            envelope = self._schema.Envelope.new_message()
            envelope._set_by_field(self._sender, sender)
            envelope._set_by_field(self._incarnation, incarnation)
            envelope._set_by_field(self._sequence, sequence)
            envelope._set_by_field(self._kind, tag)
            envelope._set_by_field(self._body, body)
            packed: bytes = envelope.to_bytes_packed()
        except ENCODE_ERRORS as error:
            raise MessageError(f'{message!r} does not fit its schema') from error
        return packed

    def decode(self, packed: bytes) -> DecodedMessage:
        """Return the message in a packed envelope.

        :raises MessageError: if the bytes contain no message of this schema.
        """
        try:
            envelope = self._schema.Envelope.from_bytes_packed(
                packed, MAX_DECODED_WORDS, MAX_NESTING
            )
            get_field = envelope._get_by_field
            codec = self._find_struct(get_field(self._kind))
            body = get_field(self._body).as_struct(codec.struct)
            return DecodedMessage(
                get_field(self._sender),
                get_field(self._incarnation),
                codec.read(body),
                get_field(self._sequence),
            )
        except DECODE_ERRORS as error:
            raise MessageError('the envelope does not fit the schema') from error

    def _find_tag(self, message: type) -> int:
        tag = self._tags.get(message)
        if tag is None:
            self._tags = {record: number for number, record in self._messages.items()}
            tag = self._tags.get(message)
        if tag is None:
            raise MessageError(f'{message.__name__} is no registered peer message')
        return tag

    def _find_struct(self, tag: int) -> StructCodec:
        codec = self._structs.get(tag)
        if codec is None:
            codec = self._build_struct(tag)
            self._structs[tag] = codec
        return codec

    def _build_struct(self, tag: int) -> StructCodec:
        record = self._messages.get(tag)
        if record is None:
            raise MessageError(f'no peer message has tag {tag}')
        try:
            return StructCodec(record, self._schema)
        except (AttributeError, KeyError, capnp.KjException) as error:
            raise MessageError(
                f'the schema of {record.__name__} is out of date; '
                'regenerate it with "make schema"'
            ) from error


@cache
def load_codec() -> MessageCodec:
    """Return the codec of the committed schema."""
    return MessageCodec(SCHEMA_PATH, PEER_MESSAGES)


def encode_message(
    sender: str,
    incarnation: int,
    message: Any,
    keys: PeerKeys,
    receiver: str = '',
    sequence: int = 0,
) -> bytes:
    """Return a signed frame.

    :param sender: the name of the sending instance.
    :param incarnation: the sender's incarnation.
    :param message: an instance of a registered peer message.
    :param keys: the keys; the signing key is used.
    :param receiver: the only instance that may accept the frame.
    :param sequence: the number of the frame in the sender's incarnation.
    :raises MessageError: if the message cannot be encoded.
    """
    envelope = load_codec().encode(sender, incarnation, sequence, message)
    if len(envelope) > MAX_ENVELOPE_BYTES:
        raise MessageError(
            f'a {type(message).__name__} of {len(envelope)} bytes is longer than '
            f'{MAX_ENVELOPE_BYTES}'
        )
    return sign_envelope(envelope, receiver, keys.signing)


def decode_message(data: bytes, keys: PeerKeys, receiver: str = '') -> DecodedMessage:
    """Return the message in a signed frame.

    The signature is verified before any byte is decoded.

    :param data: bytes from the network.
    :param keys: the accepted keys.
    :param receiver: the instance that received the frame.
    :raises MessageError: if the bytes contain no message.
    :raises SignatureError: if the frame is not authentic.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise MessageError(f'a frame of {len(data)} bytes is too long')
    return load_codec().decode(verify_frame(data, receiver, keys))
