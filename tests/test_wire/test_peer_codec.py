"""Messages between two instances, and refusal of replayed frames."""

from __future__ import annotations

import pytest

from savorychute.errors import SignatureError
from savorychute.wire import message_codec
from savorychute.wire.peer_codec import PeerCodec
from savorychute.wire.replay_window import MAX_SENDERS, WINDOW_FRAMES, ReplayWindow


@pytest.fixture
def pair(monkeypatch, codec, keys):
    monkeypatch.setattr(message_codec, 'load_codec', lambda: codec)
    return PeerCodec('a-1', 1, keys), PeerCodec('a-2', 1, keys)


def test_message_arrives_with_its_sender(pair, report):
    sender, receiver = pair
    decoded = receiver.decode(sender.encode('a-2', report))
    assert (decoded.sender, decoded.incarnation) == ('a-1', 1)
    assert decoded.message == report


def test_replayed_frame_is_refused(pair, report):
    """An attacker records a grant of credit and replays it.

    The instance would use an endpoint beyond the credit granted by its home; the
    frame's number shows that it was accepted before.
    """
    sender, receiver = pair
    frame = sender.encode('a-2', report)
    receiver.decode(frame)
    with pytest.raises(SignatureError, match='repetition'):
        receiver.decode(frame)


def test_frame_of_an_earlier_incarnation_is_refused(pair, report, keys):
    earlier, receiver = pair
    frame = earlier.encode('a-2', report)
    restarted = PeerCodec('a-1', 2, keys)
    receiver.decode(restarted.encode('a-2', report))
    with pytest.raises(SignatureError, match='repetition'):
        receiver.decode(frame)


def test_reordered_frames_are_accepted_once():
    window = ReplayWindow()
    assert window.accept('a', 1, 5)
    assert window.accept('a', 1, 3)
    assert not window.accept('a', 1, 3)
    assert window.accept('a', 1, 5 + WINDOW_FRAMES)
    assert not window.accept('a', 1, 5)
    assert window.accept('a', 1, 6)


def test_discarded_sender_starts_again():
    window = ReplayWindow()
    assert window.accept('a', 9, 9)
    window.discard('a')
    assert window.accept('a', 1, 1)


def test_memory_of_senders_is_bounded():
    """Instances are replaced all day, each under a new name.

    Without a limit the windows of all earlier instances would stay in memory.
    """
    window = ReplayWindow()
    for number in range(MAX_SENDERS + 1):
        assert window.accept(f'a-{number}', 1, 1)
    assert not window.accept('a-1', 1, 1)
    assert window.accept('a-0', 1, 1)
