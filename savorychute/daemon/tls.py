"""TLS for connections of callers, with keys that can be reloaded."""

from __future__ import annotations

import asyncio
import ssl
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.logs import InstanceLog

MS_PER_S = 1_000


class TlsKeys:
    """The certificate and key that new connections use.

    :param certificate_file: the certificate chain in PEM format.
    :param key_file: the key of the chain's first certificate in PEM format.
    """

    def __init__(self, certificate_file: str, key_file: str) -> None:
        self._certificate_file = certificate_file
        self._key_file = key_file
        self.current_context = self._load()
        self.listening_context = self._load()
        self.listening_context.sni_callback = self._select_context

    def reload(self) -> None:
        """Reload both files for new connections.

        Open connections keep their context.  If the files do not match, for example
        in the middle of a replacement, the previous keys stay in use.

        :raises OSError: if a file cannot be read or is invalid.
        """
        self.current_context = self._load()

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(['http/1.1'])
        context.load_cert_chain(self._certificate_file, self._key_file)
        return context

    def _select_context(
        self,
        connection: ssl.SSLSocket | ssl.SSLObject,
        name: str | None,  # noqa: ARG002
        context: ssl.SSLContext,  # noqa: ARG002
    ) -> None:
        """Set the current context on a connection, for any server name."""
        connection.context = self.current_context


@asynccontextmanager
async def reload_periodically(
    keys: TlsKeys | None, interval_ms: int, log: InstanceLog
) -> AsyncIterator[Callable[[], None]]:
    """Reload keys at once and then periodically, until the block ends.

    The first reload finds keys that were replaced after they were loaded and before the
    signal for it was handled.

    :param keys: the keys, or None without TLS.
    :param interval_ms: the time between two reloads.
    :param log: the log for failed reloads.
    :returns: a function that reloads at once.
    """

    def reload() -> None:
        if keys is None:
            return
        try:
            keys.reload()
        except OSError as error:
            log.warning('tls-reload-failed', error=type(error).__name__)

    async def reload_forever() -> None:
        while True:
            reload()
            await asyncio.sleep(interval_ms / MS_PER_S)

    task = asyncio.get_running_loop().create_task(reload_forever())
    try:
        yield reload
    finally:
        task.cancel()
