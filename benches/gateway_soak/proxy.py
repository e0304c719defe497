"""A loopback proxy that injects faults into its connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from enum import Enum, auto

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65_536
DELAY_S = 0.15
# Lets the close of a socket reset its connection.
RESET = struct.pack('ii', 1, 0)


class ProxyFault(Enum):
    """A fault that applies to the forwarded bytes."""

    NONE = auto()
    DELAY = auto()
    SILENT = auto()
    ANSWERS_LOST = auto()
    REFUSE = auto()


class Proxy:
    """Forwards connections to one port.

    :param target_port: the port that it forwards to.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.fault = ProxyFault.NONE
        self.port = 0
        self.connection_count = 0
        # Times at which the fault changed or connections were reset.
        self.events_s: list[float] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_fault(self, fault: ProxyFault) -> None:
        """Apply another fault from now on.

        :param fault: the fault.
        """
        self.fault = fault
        self.events_s.append(asyncio.get_running_loop().time())

    def reset_all(self) -> None:
        """Reset every connection without closing it in order."""
        self.events_s.append(asyncio.get_running_loop().time())
        for writer in tuple(self._writers):
            reset(writer.transport)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        if self.fault is ProxyFault.REFUSE:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        # At the end of a seed it is cancelled, and the callback of asyncio streams
        # would report this as an error.
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, is_response=False),
                self._forward(target_reader, writer, is_response=True),
            )
        self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is ProxyFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self._is_blocked(is_response):
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        reset(writer.transport)

    def _is_blocked(self, is_response: bool) -> bool:
        if self.fault is ProxyFault.SILENT:
            return True
        return is_response and self.fault is ProxyFault.ANSWERS_LOST


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection; an end in order would end a response without a length.

    :param transport: its transport.
    """
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is not None and not transport.is_closing():
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()
