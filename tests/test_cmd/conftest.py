"""Fixtures for tests of the command line."""

from __future__ import annotations

import ssl

import pytest
from operator_stand_in import CERTIFICATE, serve_stand_in

from savorychute.cmd.connection_arguments import ADDRESS_VARIABLE
from savorychute.cmd.main import main
from savorychute.cmd.operator_client import TOKEN_VARIABLE


@pytest.fixture
def stand_in(monkeypatch):
    with serve_stand_in(None) as instance:
        monkeypatch.setenv(ADDRESS_VARIABLE, f'127.0.0.1:{instance.port}')
        monkeypatch.setenv(TOKEN_VARIABLE, 'operator-token')
        yield instance


@pytest.fixture
def tls_stand_in(monkeypatch):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(CERTIFICATE, CERTIFICATE.with_suffix('.key'))
    with serve_stand_in(context) as instance:
        monkeypatch.setenv(ADDRESS_VARIABLE, f'127.0.0.1:{instance.port}')
        monkeypatch.setenv(TOKEN_VARIABLE, 'operator-token')
        yield instance


@pytest.fixture
def run(capsys):
    """Run a command; return its exit code, standard output and standard error."""

    def call(*argv: str) -> tuple[int, str, str]:
        try:
            code = main(argv)
        except SystemExit as error:
            code = int(error.code or 0)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


@pytest.fixture
def contract_file(tmp_path):
    path = tmp_path / 'malanadu.jsonc'
    path.write_text(
        '{\n  // The pumps.\n  "organisation": "malanadu", "classes": []\n}\n'
    )
    return str(path)
