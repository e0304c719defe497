"""Signatures of peer messages.

A frame consists of a version byte, the key's number in two bytes, an
authentication tag of 16 bytes and the packed envelope.  The tag is keyed BLAKE2b
(RFC 7693) over the receiver's name, the key's number and the envelope, so that a
frame recorded on its way to one instance is refused by all others.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import TYPE_CHECKING

from savorychute.errors import MessageError, SignatureError

if TYPE_CHECKING:
    from savorychute.wire.peer_key import PeerKey
    from savorychute.wire.peer_keys import PeerKeys

FRAME_VERSION = 1
TAG_BYTES = 16
FRAME_HEADER = struct.Struct('>BH16s')
BLAKE2_PERSON = b'savorychute-peer'


def sign_envelope(envelope: bytes, receiver: str, key: PeerKey) -> bytes:
    """Return the frame that carries *envelope*.

    :param envelope: the packed envelope.
    :param receiver: the name of the only instance that may accept the frame.
    :param key: the key to sign with.
    """
    tag = _compute_tag(envelope, receiver, key)
    return FRAME_HEADER.pack(FRAME_VERSION, key.key_id, tag) + envelope


def verify_frame(frame: bytes, receiver: str, keys: PeerKeys) -> bytes:
    """Return the envelope inside an authentic frame.

    :param frame: bytes from the network.
    :param receiver: the name of the instance that received them.
    :param keys: the accepted keys.
    :raises MessageError: if the bytes are not a frame of this version.
    :raises SignatureError: if no accepted key signed the frame for *receiver*.
    """
    if len(frame) < FRAME_HEADER.size:
        raise MessageError(f'a frame of {len(frame)} bytes is too short')
    version, key_id, tag = FRAME_HEADER.unpack_from(frame)
    if version != FRAME_VERSION:
        raise MessageError(f'frame version {version} is not {FRAME_VERSION}')
    key = keys.find(key_id)
    if key is None:
        raise SignatureError(f'key {key_id} is not accepted')
    envelope = frame[FRAME_HEADER.size :]
    if not hmac.compare_digest(tag, _compute_tag(envelope, receiver, key)):
        raise SignatureError(f'the signature by key {key_id} is wrong')
    return envelope


def _compute_tag(envelope: bytes, receiver: str, key: PeerKey) -> bytes:
    name = receiver.encode()
    prefix = struct.pack('>HH', key.key_id, len(name)) + name
    digest = hashlib.blake2b(
        prefix, digest_size=TAG_BYTES, key=key.secret, person=BLAKE2_PERSON
    )
    digest.update(envelope)
    return digest.digest()
