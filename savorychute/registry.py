"""Registries of named variants, populated by decorators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from savorychute.errors import UnknownVariantError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

T = TypeVar('T')


class Registry(Generic[T]):
    """The variants of one behaviour, by name.

    :param kind: a noun for the variants, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._variants: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under *name*.

        :param name: the name used in settings and on command lines.
        """

        def add(variant: T) -> T:
            if name in self._variants:
                raise ValueError(f'{self.kind} {name!r} is registered twice')
            self._variants[name] = variant
            return variant

        return add

    def get(self, name: str) -> T:
        """Return the variant called *name*.

        :raises UnknownVariantError: if there is no such variant.
        """
        try:
            return self._variants[name]
        except KeyError:
            raise UnknownVariantError(self.kind, name, tuple(self)) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._variants))

    def __contains__(self, name: object) -> bool:
        return name in self._variants
