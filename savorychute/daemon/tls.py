"""TLS towards callers, with keys that are reloaded."""

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
    """The certificate and key that new connections get.

    :param certificate_file: PEM chain.
    :param key_file: PEM key of the chain's first certificate.
    """

    def __init__(self, certificate_file: str, key_file: str) -> None:
        self._certificate_file = certificate_file
        self._key_file = key_file
        self.current = self._load()
        self.listening = self._load()
        self.listening.sni_callback = self._choose

    def reload(self) -> None:
        """Read both files anew, for connections that come from now on.

        Open connections keep the context they began with.  Files that do not
        fit together, as in the middle of a replacement, leave the keys as
        they are.

        :raises OSError: if a file cannot be read or is no good.
        """
        self.current = self._load()

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(['http/1.1'])
        context.load_cert_chain(self._certificate_file, self._key_file)
        return context

    def _choose(
        self,
        connection: ssl.SSLSocket | ssl.SSLObject,
        name: str | None,  # noqa: ARG002
        context: ssl.SSLContext,  # noqa: ARG002
    ) -> None:
        """Give a connection the newest context, whichever name it asks for."""
        connection.context = self.current


@asynccontextmanager
async def keep_reloading(
    keys: TlsKeys | None, interval_ms: int, log: InstanceLog
) -> AsyncIterator[Callable[[], None]]:
    """Reload keys from time to time until the block ends.

    :param keys: the keys, or none without TLS.
    :param interval_ms: the time between two reloads.
    :param log: where a failed reload is reported.
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
            await asyncio.sleep(interval_ms / MS_PER_S)
            reload()

    task = asyncio.get_running_loop().create_task(reload_forever())
    try:
        yield reload
    finally:
        task.cancel()
