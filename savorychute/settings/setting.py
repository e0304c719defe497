"""One row of the table of settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.settings.scope import Scope


class _Required:
    """Marks a setting that has no default."""

    def __repr__(self) -> str:
        return 'required'


REQUIRED = _Required()


class Setting(NamedTuple):
    """A setting's name, default, unit, scope, reader and description.

    ``read`` converts the value in the file to the value in the program; it raises a
    :class:`ValueError` that describes the expected value.  ``kind`` describes the
    expected value in the reference.
    """

    name: str
    default: Any
    unit: str
    scope: Scope
    kind: str
    read: Callable[[Any], Any]
    doc: str
