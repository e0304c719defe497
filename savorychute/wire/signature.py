"""Signatures over the bytes of peer messages.

A frame is one version byte, the key's number in two bytes, a tag of 16 bytes
and the packed envelope.  The tag is keyed BLAKE2b (RFC 7693) over the
receiver's name, the key's number and the envelope, so that a frame recorded
on its way to one instance is refused by every other.
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
HEAD = struct.Struct('>BH16s')
PERSON = b'savorychute-peer'


def sign_envelope(envelope: bytes, receiver: str, key: PeerKey) -> bytes:
    """Return the frame that carries *envelope*.

    :param envelope: the packed envelope.
    :param receiver: the name of the instance that may accept the frame.
    :param key: the key to sign with.
    """
    tag = _compute_tag(envelope, receiver, key)
    return HEAD.pack(FRAME_VERSION, key.key_id, tag) + envelope


def open_frame(frame: bytes, receiver: str, keys: PeerKeys) -> bytes:
    """Return the envelope inside an authentic frame.

    :param frame: bytes from the network.
    :param receiver: the name of the instance that reads them.
    :param keys: the keys that are accepted.
    :raises MessageError: if the bytes are no frame of this version.
    :raises SignatureError: if no accepted key signed the frame for *receiver*.
    """
    if len(frame) < HEAD.size:
        raise MessageError(f'a frame of {len(frame)} bytes is too short')
    version, key_id, tag = HEAD.unpack_from(frame)
    if version != FRAME_VERSION:
        raise MessageError(f'frame version {version} is not {FRAME_VERSION}')
    key = keys.find(key_id)
    if key is None:
        raise SignatureError(f'key {key_id} is not accepted')
    envelope = frame[HEAD.size :]
    if not hmac.compare_digest(tag, _compute_tag(envelope, receiver, key)):
        raise SignatureError(f'the signature by key {key_id} is wrong')
    return envelope


def _compute_tag(envelope: bytes, receiver: str, key: PeerKey) -> bytes:
    name = receiver.encode()
    prefix = struct.pack('>HH', key.key_id, len(name)) + name
    digest = hashlib.blake2b(
        prefix, digest_size=TAG_BYTES, key=key.secret, person=PERSON
    )
    digest.update(envelope)
    return digest.digest()
