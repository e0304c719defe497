"""Only frames signed with a shared key are accepted."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.errors import MessageError, SignatureError
from savorychute.wire.message_codec import load_codec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.signature import sign_envelope, verify_frame

KEYS = PeerKeys(PeerKey(1, b'k' * 32))
FRAME = sign_envelope(b'envelope' * 4, 'a-1', KEYS.signing)


def test_frame_is_verified_for_its_receiver(keys):
    frame = sign_envelope(b'envelope', 'a-1', keys.signing)
    assert verify_frame(frame, 'a-1', keys) == b'envelope'


def test_frame_for_another_receiver_is_refused(keys):
    """An attacker records a credit for one instance and sends it to another.

    Both share the key, so only the signed receiver's name shows that the credit
    was not granted to the second instance.
    """
    frame = sign_envelope(b'envelope', 'a-1', keys.signing)
    with pytest.raises(SignatureError):
        verify_frame(frame, 'a-2', keys)


def test_key_rotation_has_no_interruption(old_key, new_key):
    """Operators rotate the key while instances restart one by one.

    At each step any two instances that are at most one step apart must accept each
    other's frames; after the last step the old key is refused.
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
            assert verify_frame(frame, 'a-1', other) == b'envelope'
    with pytest.raises(SignatureError, match='key 1 is not accepted'):
        verify_frame(sign_envelope(b'envelope', 'a-1', old_key), 'a-1', steps[-1])


def test_same_key_number_with_another_secret_is_refused(keys):
    forged = sign_envelope(b'envelope', 'a-1', PeerKey(1, b'x' * 32))
    with pytest.raises(SignatureError, match='is wrong'):
        verify_frame(forged, 'a-1', keys)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, len(FRAME) - 1), st.integers(1, 255))
def test_any_changed_byte_is_refused(position, change):
    changed = bytearray(FRAME)
    changed[position] ^= change
    with pytest.raises((MessageError, SignatureError)):
        verify_frame(bytes(changed), 'a-1', KEYS)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200))
def test_noise_is_never_authentic(noise):
    with pytest.raises((MessageError, SignatureError)):
        verify_frame(noise, 'a-1', KEYS)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.binary(max_size=300))
def test_signed_noise_raises_only_message_errors(noise):
    """A faulty instance signs bytes that are not a message.

    The receiver must refuse the frame and continue to run.
    """
    with pytest.raises(MessageError):
        load_codec().decode(noise)
