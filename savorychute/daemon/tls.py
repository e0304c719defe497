"""TLS towards callers, with keys that are reloaded."""

from __future__ import annotations

import ssl


class TlsKeys:
    """The certificate and key that new connections get.

    :param certificate_file: PEM chain.
    :param key_file: PEM key of the chain's first certificate.
    """

    def __init__(self, certificate_file: str, key_file: str) -> None:
        self._certificate_file = certificate_file
        self._key_file = key_file
        self._current = self._load()
        self.listening = self._load()
        self.listening.sni_callback = self._choose

    def reload(self) -> None:
        """Read both files anew, for connections that come from now on.

        Open connections keep the context they began with.  Files that do not
        fit together, as in the middle of a replacement, leave the keys as
        they are.

        :raises OSError: if a file cannot be read or is no good.
        """
        self._current = self._load()

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
        connection.context = self._current
