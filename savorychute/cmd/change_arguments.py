"""Arguments of the commands that change the configuration."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

import json5

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from pathlib import Path


def add_change_arguments(parser: ArgumentParser) -> None:
    """Add ``--why``, ``--base-version`` and ``--record-id``."""
    parser.add_argument('--why', required=True, help='the reason, for the audit trail')
    parser.add_argument(
        '--base-version',
        type=int,
        metavar='N',
        help='the version that the change starts from',
    )
    parser.add_argument(
        '--record-id',
        metavar='ID',
        help='of an earlier try whose answer was lost',
    )


def take_change_arguments(arguments: Namespace) -> dict[str, Any]:
    """Return the fields that every change has.

    The record's id is made here, so that a change whose answer was lost can
    be sent again under the same id and takes effect once.
    """
    record_id = arguments.record_id or uuid.uuid4().hex
    taken = {'why': arguments.why, 'record_id': record_id}
    if arguments.base_version is not None:
        taken['base_version'] = arguments.base_version
    return taken


def read_document(path: Path) -> dict[str, Any]:
    """Return the object in a file of JSON with comments.

    :raises ValueError: if the file holds none.
    :raises OSError: if it cannot be read.
    """
    try:
        document = json5.loads(path.read_text('utf-8'))
    except ValueError as error:
        raise ValueError(str(error).replace('<string>', str(path))) from error
    if not isinstance(document, dict):
        raise ValueError(f'{path}: expected a JSON object')
    return document
