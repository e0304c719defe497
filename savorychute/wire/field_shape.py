"""The wire representation of a field of a peer message."""

from __future__ import annotations

import sys
from enum import Enum
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

SCALARS: dict[type, str] = {
    bool: 'Bool',
    int: 'Int64',
    float: 'Float64',
    str: 'Text',
    bytes: 'Data',
}
# Number of type arguments of a list field, ``tuple[X, ...]``.
LIST_ARGUMENTS = 2


class FieldShape(NamedTuple):
    """A field: its name, the type of its elements, and whether it is a list.

    ``element`` is a type of :data:`SCALARS`, an enum derived from one, or a
    NamedTuple.
    """

    name: str
    element: type
    is_list: bool

    @property
    def is_struct(self) -> bool:
        """Whether the element is itself a NamedTuple."""
        return is_named_tuple(self.element)

    @property
    def is_enum(self) -> bool:
        """Whether the element is an enum over a scalar."""
        return issubclass(self.element, Enum)

    @property
    def wire_type(self) -> str:
        """The element's type in the schema."""
        if self.is_struct:
            return self.element.__name__
        return SCALARS[_find_scalar(self.element)]


def is_named_tuple(candidate: object) -> bool:
    """Return whether *candidate* is a NamedTuple class."""
    return (
        isinstance(candidate, type)
        and issubclass(candidate, tuple)
        and hasattr(candidate, '_fields')
    )


def describe_fields(record: type) -> tuple[FieldShape, ...]:
    """Return the shapes of a NamedTuple's fields, in their order.

    :param record: a NamedTuple class.
    :raises TypeError: if a field's type has no wire representation.
    """
    hints = _resolve_hints(record)
    names: tuple[str, ...] = record._fields  # type: ignore[attr-defined]
    return tuple(_describe_field(record, name, hints[name]) for name in names)


def _describe_field(record: type, name: str, hint: Any) -> FieldShape:
    if get_origin(hint) is tuple:
        arguments = get_args(hint)
        if len(arguments) == LIST_ARGUMENTS and arguments[1] is Ellipsis:
            return _validate(record, FieldShape(name, arguments[0], True))
    return _validate(record, FieldShape(name, hint, False))


def _validate(record: type, shape: FieldShape) -> FieldShape:
    element = shape.element
    if is_named_tuple(element):
        return shape
    if isinstance(element, type) and _find_scalar(element) in SCALARS:
        return shape
    raise TypeError(
        f'{record.__name__}.{shape.name} has type {shape.element}, which has no '
        'wire representation'
    )


def _find_scalar(element: type) -> type:
    if element in SCALARS:
        return element
    for base in element.__mro__:
        if base in SCALARS:
            return base
    return element


def _resolve_hints(record: type) -> dict[str, Any]:
    try:
        return get_type_hints(record)
    except NameError:
        # The module of the record imports the type only for type checkers.
        return get_type_hints(record, localns=_collect_imported_types())


def _collect_imported_types() -> dict[str, Any]:
    types: dict[str, Any] = {}
    for name, module in list(sys.modules.items()):
        if name.startswith('savorychute.'):
            for value in list(vars(module).values()):
                if is_named_tuple(value) or _is_enum_class(value):
                    types[value.__name__] = value
    return types


def _is_enum_class(candidate: object) -> bool:
    return isinstance(candidate, type) and issubclass(candidate, Enum)
