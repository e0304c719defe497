"""Readers of the names of registered variants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from savorychute.registry import Registry

# The packages are imported late, because reading the table of settings needs none of
# them.


def read_router(value: Any) -> str:
    """Return the name of a router."""
    from savorychute.routing import ROUTERS

    return _read(value, ROUTERS)


def read_admission(value: Any) -> str:
    """Return the name of an admission policy."""
    from savorychute.admission import ADMISSIONS

    return _read(value, ADMISSIONS)


def read_log_dialect(value: Any) -> str:
    """Return the name of a dialect of the platform's log."""
    from savorychute.platforms import LOGS

    return _read(value, LOGS)


def read_list_dialect(value: Any) -> str:
    """Return the name of a dialect of the platform's list."""
    from savorychute.platforms import LISTINGS

    return _read(value, LISTINGS)


def _read(value: Any, registry: Registry[Any]) -> str:
    if not isinstance(value, str) or value not in registry:
        raise ValueError(f'one of {", ".join(registry)}')
    return value
