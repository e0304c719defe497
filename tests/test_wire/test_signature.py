"""Only instances that share a key are heard."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.errors import MessageError, SignatureError
from savorychute.wire.message_codec import load_codec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.signature import open_frame, sign_envelope

KEYS = PeerKeys(PeerKey(1, b'k' * 32))
FRAME = sign_envelope(b'envelope' * 4, 'a-1', KEYS.signing)


def test_frame_opens_for_its_receiver(keys):
    frame = sign_envelope(b'envelope', 'a-1', keys.signing)
    assert open_frame(frame, 'a-1', keys) == b'envelope'


def test_frame_for_another_receiver_is_refused(keys):
    """A stranger records a credit meant for one instance, sends it to another.

    Both share the key, so only the receiver's name under the signature tells
    that the second one was never granted anything.
    """
    frame = sign_envelope(b'envelope', 'a-1', keys.signing)
    with pytest.raises(SignatureError):
        open_frame(frame, 'a-2', keys)


def test_rotation_leaves_no_gap(old_key, new_key):
    """Operators change the key while instances restart one by one.

    At each step any two instances, one step apart, must understand each
    other; after the last step the old key opens nothing.
    """
    steps = [
        PeerKeys(old_key),
        PeerKeys(old_key, (new_key,)),
        PeerKeys(new_key, (old_key,)),
        PeerKeys(new_key),
    ]
    for before, after in itertools.pairwise(steps):
        for one, other in ((before, after), (after, before)):
            frame = sign_envelope(b'envelope', 'a-1', one.signing)
            assert open_frame(frame, 'a-1', other) == b'envelope'
    with pytest.raises(SignatureError, match='key 1 is not accepted'):
        open_frame(sign_envelope(b'envelope', 'a-1', old_key), 'a-1', steps[-1])


def test_same_key_number_with_another_secret_is_refused(keys):
    forged = sign_envelope(b'envelope', 'a-1', PeerKey(1, b'x' * 32))
    with pytest.raises(SignatureError, match='is wrong'):
        open_frame(forged, 'a-1', keys)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, len(FRAME) - 1), st.integers(1, 255))
def test_any_changed_byte_is_refused(position, change):
    changed = bytearray(FRAME)
    changed[position] ^= change
    with pytest.raises((MessageError, SignatureError)):
        open_frame(bytes(changed), 'a-1', KEYS)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200))
def test_noise_is_never_authentic(noise):
    with pytest.raises((MessageError, SignatureError)):
        open_frame(noise, 'a-1', KEYS)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.binary(max_size=300))
def test_noise_signed_by_an_insider_raises_nothing_else(noise):
    """An instance with a defect signs bytes that are no message.

    The receiver must refuse that frame and live on.
    """
    with pytest.raises(MessageError):
        load_codec().decode(noise)
