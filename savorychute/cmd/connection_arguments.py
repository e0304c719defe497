"""Arguments of the commands that connect to instances."""

from __future__ import annotations

import os
import ssl
from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.settings.readers import read_address

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.settings.network_address import NetworkAddress

ADDRESS_VARIABLE = 'SAVORYCHUTE_INSTANCES'
DEFAULT_ADDRESS = '127.0.0.1:8080'


def add_connection_arguments(
    parser: ArgumentParser, token_variable: str, timeout_ms: int
) -> None:
    """Add the options for addresses, token, TLS and timeout.

    :param parser: the parser of one command.
    :param token_variable: the environment variable with the token.
    :param timeout_ms: the default timeout of the whole command.
    """
    parser.add_argument(
        '--instances',
        metavar='HOST:PORT,...',
        help=f'instances to try, in this order (default ${ADDRESS_VARIABLE})',
    )
    parser.add_argument(
        '--token-file',
        type=Path,
        metavar='FILE',
        help=f'file with the token (default ${token_variable})',
    )
    parser.add_argument(
        '--ca-file',
        metavar='FILE',
        help='use TLS and trust the certificates in this file',
    )
    parser.add_argument(
        '--timeout-ms',
        type=int,
        default=timeout_ms,
        metavar='N',
        help=f'timeout of the whole command (default {timeout_ms})',
    )


def read_instances(arguments: Namespace) -> tuple[NetworkAddress, ...]:
    """Return the addresses from the arguments or from the environment.

    :raises ValueError: if an address is not ``host:port``.
    """
    addresses = arguments.instances or os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    return tuple(read_address(item.strip()) for item in addresses.split(','))


def read_token(arguments: Namespace, token_variable: str) -> str:
    """Return the token from the file or from the environment, or an empty string.

    :param token_variable: the environment variable with the token.
    :raises OSError: if the file cannot be read.
    """
    if arguments.token_file:
        text: str = arguments.token_file.read_text('utf-8')
        return text.strip()
    return os.environ.get(token_variable, '')


def read_tls(arguments: Namespace) -> ssl.SSLContext | None:
    """Return the TLS context that verifies the server, or ``None`` for plain TCP.

    :raises OSError: if the certificates cannot be read.
    """
    if not arguments.ca_file:
        return None
    return ssl.create_default_context(cafile=arguments.ca_file)
