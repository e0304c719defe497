"""The settings that one kind of file may contain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.settings.rule import Rule
    from savorychute.settings.setting import Setting

T = TypeVar('T')


class SettingsSchema(NamedTuple, Generic[T]):
    """A table of settings, the rules between them, and the class of their values."""

    settings: Sequence[Setting]
    rules: Sequence[Rule[T]]
    record: Callable[..., T]
