"""Generation of the Cap'n Proto schema of the peer messages from their types."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from savorychute.wire.field_shape import FieldShape, describe_fields

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

SCHEMA_PATH = Path(__file__).with_name('messages.capnp')

SCHEMA_HEADER = """\
# Written by "savorychute schema" from the registered peer messages.
@0xbf5147cbbecf40c1;

struct Envelope {
  sender @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :UInt64;
  kind @3 :UInt16;  # the tag of the message in the body
  body @4 :AnyPointer;
}
"""


def write_schema(messages: Mapping[int, type]) -> str:
    """Return the schema of *messages* and of all records nested in them.

    Structs are ordered by tag, each after the records that it contains, so that
    the text depends only on the types.

    :param messages: NamedTuple classes by tag.
    :raises TypeError: if a field has no wire representation or if two records
        share a name.
    """
    parts = [SCHEMA_HEADER]
    tags = {message: tag for tag, message in messages.items()}
    for record in collect_records(messages[tag] for tag in sorted(messages)):
        parts.append(_write_struct(record, tags.get(record)))
    return '\n'.join(parts)


def collect_records(roots: Iterable[type]) -> list[type]:
    """Return *roots* and the records nested in them, nested ones first.

    :raises TypeError: if two records share a name.
    """
    records_by_name: dict[str, type] = {}
    for root in roots:
        _collect(root, records_by_name)
    return list(records_by_name.values())


def _collect(record: type, records_by_name: dict[str, type]) -> None:
    existing = records_by_name.get(record.__name__)
    if existing is record:
        return
    if existing is not None:
        raise TypeError(f'two records are called {record.__name__}')
    for shape in describe_fields(record):
        if shape.is_struct:
            _collect(shape.element, records_by_name)
    records_by_name[record.__name__] = record


def _write_struct(record: type, tag: int | None) -> str:
    lines = [f'struct {record.__name__} {{']
    if tag is not None:
        lines[0] += f'  # tag {tag}'
    defaults = record._field_defaults  # type: ignore[attr-defined]
    for number, shape in enumerate(describe_fields(record)):
        lines.append(f'  {_write_field(number, shape, defaults)}')
    lines.append('}\n')
    return '\n'.join(lines)


def _write_field(number: int, shape: FieldShape, defaults: Mapping[str, object]) -> str:
    wire_type = shape.wire_type
    if shape.is_list:
        wire_type = f'List({wire_type})'
    default = _write_default(defaults.get(shape.name))
    return f'{to_camel_case(shape.name)} @{number} :{wire_type}{default};'


def _write_default(value: object) -> str:
    """Return the default, which applies if an older sender omits the field."""
    if isinstance(value, bool):
        return ' = true' if value else ''
    if isinstance(value, int | float) and value:
        return f' = {value}'
    return ''


def to_camel_case(name: str) -> str:
    """Return *name* in the spelling of Cap'n Proto's field names.

    :param name: a Python field name such as ``first_token_ms``.
    """
    head, *rest = name.split('_')
    return head + ''.join(part.title() for part in rest)
