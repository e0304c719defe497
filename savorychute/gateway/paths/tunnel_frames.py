"""Frames that carry the bytes of an endpoint through a tunnel.

The system closes the connections of a process that is killed in the same way as those of
one that ends them.  A requester could therefore take the end of a relay for the end of a
response without a length.  Each frame is a length and so many bytes; the relay sends an
empty frame only after the endpoint has closed its connection in order.
"""

from __future__ import annotations

import struct

FRAME_LENGTH = struct.Struct('>I')
END_FRAME = FRAME_LENGTH.pack(0)
# Header of a request for a tunnel and of its response.  Instances of older builds neither
# send nor ask for frames.
FRAMES_HEADER = b'savorychute-frames'
FRAMES_VERSION = b'1'


def encode_frame(data: bytes) -> bytes:
    """Return bytes as a frame.

    :param data: the bytes, not empty.
    """
    return FRAME_LENGTH.pack(len(data)) + data


class FrameReader:
    """Returns the bytes of frames as they arrive, and never buffers them."""

    __slots__ = ('_left_bytes', '_length', 'ended')

    def __init__(self) -> None:
        self._left_bytes = 0
        self._length = b''
        # Whether the endpoint has closed its connection in order.
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the endpoint; what follows its end is discarded.

        :param data: the next bytes of the tunnel.
        """
        parts: list[bytes] = []
        position = 0
        while position < len(data) and not self.ended:
            if self._left_bytes:
                part = data[position : position + self._left_bytes]
                self._left_bytes -= len(part)
                position += len(part)
                parts.append(part)
                continue
            missing = FRAME_LENGTH.size - len(self._length)
            self._length += data[position : position + missing]
            position += missing
            if len(self._length) == FRAME_LENGTH.size:
                (self._left_bytes,) = FRAME_LENGTH.unpack(self._length)
                self._length = b''
                self.ended = not self._left_bytes
        return parts[0] if len(parts) == 1 else b''.join(parts)
