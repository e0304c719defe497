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
        help='the version on which the change is based',
    )
    parser.add_argument(
        '--record-id',
        metavar='ID',
        help='id of an earlier attempt whose response was lost',
    )


def read_change_arguments(arguments: Namespace) -> dict[str, Any]:
    """Return the fields common to all changes.

    The record id is generated here, so that a change whose response was lost can
    be sent again under the same id and takes effect only once.
    """
    record_id = arguments.record_id or uuid.uuid4().hex
    fields = {'why': arguments.why, 'record_id': record_id}
    if arguments.base_version is not None:
        fields['base_version'] = arguments.base_version
    return fields


def read_document(path: Path) -> dict[str, Any]:
    """Return the JSON object in a file of JSON with comments.

    :raises ValueError: if the file does not contain a JSON object.
    :raises OSError: if it cannot be read.
    """
    try:
        document = json5.loads(path.read_text('utf-8'))
    except ValueError as error:
        raise ValueError(str(error).replace('<string>', str(path))) from error
    if not isinstance(document, dict):
        raise ValueError(f'{path}: expected a JSON object')
    return document
