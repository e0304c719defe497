"""One row of the table of settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.settings.scope import Scope


class _Required:
    """The default of a setting that has none."""

    def __repr__(self) -> str:
        return 'required'


REQUIRED = _Required()


class Setting(NamedTuple):
    """A setting's name, default, unit, scope, reader and description.

    ``read`` turns the value of the file into that of the program; it raises
    :class:`ValueError` with what was expected.  ``kind`` is the same
    expectation in words, for the reference.
    """

    name: str
    default: Any
    unit: str
    scope: Scope
    kind: str
    read: Callable[[Any], Any]
    doc: str
