from __future__ import annotations

from savorychute.wire.message_codec import decode_message, encode_message
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.peer_packages import load_peer_messages


def test_messages_of_leaving_and_dead_members_survive_encoding(start_mesh):
    """States are enumerations, and the codec accepts plain integers only.

    A ping that cannot be encoded is never sent, so the instance would appear
    dead to all members although it runs.
    """
    load_peer_messages()
    keys = PeerKeys(PeerKey(1, b'a secret of 32 bytes for a test.'))
    mesh = start_mesh(9, regions=3)
    seen_types = set()

    def check(sender, target, message):
        encoded = encode_message(sender, 1, message, keys, target, 1)
        assert decode_message(encoded, keys, target).message == message
        seen_types.add(type(message).__name__)

    mesh.on_send = check
    mesh.leave('entry-0001')
    mesh.stop('entry-0002')
    mesh.run(20_000)
    assert {'Ping', 'Ack', 'PingRequest', 'Gossip', 'Digest'} <= seen_types
