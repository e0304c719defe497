"""Reads the endpoints, limits and prices of a service from a file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import json5
import msgspec

from savorychute.errors import SavorychuteError
from savorychute.gateway.configuration.service_scaling import ServiceScaling
from savorychute.gateway.duties.server_fleet import DomainFleet, ServerFleet
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from pathlib import Path


class ServiceFileError(SavorychuteError):
    """The file cannot be read, or its content is invalid."""

    code = ResultCode.BAD_SETTINGS


class _Domain(msgspec.Struct):
    lasting: int
    price: float = 1.0
    reclaimable: int = 0


class _Service(msgspec.Struct):
    service: str
    least: int
    most: int
    domains: dict[str, _Domain]
    reclaimable_price: float | None = None


def read_service_file(path: Path) -> tuple[ServerFleet, ServiceScaling]:
    """Return the current fleet of a service, and its limits and prices.

    :param path: JSON with comments: ``service``, ``least``, ``most``,
        ``reclaimable_price`` and, for each of ``domains``, how many ``lasting``
        endpoints exist there and their ``price``.
    :raises ServiceFileError: if the file is invalid.
    """
    try:
        document = msgspec.convert(json5.loads(path.read_text()), _Service)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise ServiceFileError(f'{path}: {error}') from error
    if not document.domains:
        raise ServiceFileError(f'{path}: "domains" is empty')
    domains = sorted(document.domains.items())
    current = ServerFleet(
        document.service,
        tuple(
            (name, DomainFleet(each.lasting, each.reclaimable))
            for name, each in domains
        ),
    )
    prices = tuple((name, each.price) for name, each in domains)
    return current, ServiceScaling(
        document.least, document.most, document.reclaimable_price, prices
    )
