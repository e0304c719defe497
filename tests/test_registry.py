"""Tests for registries."""

from __future__ import annotations

import pytest

from savorychute.errors import UnknownVariantError
from savorychute.registry import Registry


def test_unknown_variant_error_lists_the_known_ones():
    registry: Registry[str] = Registry('router')
    registry.register('predicted')('variant')

    with pytest.raises(UnknownVariantError, match="no router called 'x'; known: pred"):
        registry.get('x')


def test_duplicate_registration_is_refused():
    registry: Registry[str] = Registry('router')
    registry.register('predicted')('variant')

    add_again = registry.register('predicted')

    with pytest.raises(ValueError, match='registered twice'):
        add_again('other')
