"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum, auto

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65_536
DELAY_S = 0.15


class Harm(Enum):
    """What happens to bytes."""

    NONE = auto()
    DELAY = auto()
    SILENT = auto()
    ANSWERS_LOST = auto()
    REFUSE = auto()


class Proxy:
    """Passes connections on to one port.

    :param target_port: where to.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.harm = Harm.NONE
        self.port = 0
        # When the harm changed, or connections were cut.
        self.events_s: list[float] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def change(self, harm: Harm) -> None:
        """Do something else to the bytes from now on.

        :param harm: what.
        """
        self.harm = harm
        self.events_s.append(asyncio.get_running_loop().time())

    def reset_all(self) -> None:
        """Cut every connection without a farewell."""
        self.events_s.append(asyncio.get_running_loop().time())
        for writer in tuple(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """End the proxy."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.REFUSE:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        # Cancelled at the end of a seed, where the streams' callback would report it.
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, far_writer, answers=False),
                self._pump(far_reader, writer, answers=True),
            )
        self._writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self._holds(answers):
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()

    def _holds(self, answers: bool) -> bool:
        if self.harm is Harm.SILENT:
            return True
        return answers and self.harm is Harm.ANSWERS_LOST
