"""The request classes of the demonstration's callers and their rates."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.testing.call import CallClass  # noqa: TC001
from savorychute.testing.profiles import HOOGHLY_CLASSES, MALANADU_CLASSES

SERVICE = 'register'


class DemoClass(NamedTuple):
    """A request class of an organisation and the rate of its calls."""

    organisation: str
    call_class: CallClass
    rate_per_s: float


def list_classes(rate_per_s: float) -> list[DemoClass]:
    """Return the classes of both organisations.

    :param rate_per_s: the total rate of the calls of one organisation.
    """
    classes = []
    for organisation, call_classes in (
        ('malanadu', MALANADU_CLASSES),
        ('hooghly', HOOGHLY_CLASSES),
    ):
        for call_class in call_classes:
            service = SERVICE if call_class.service else ''
            demo_call_class = call_class._replace(service=service)
            rate = rate_per_s * call_class.demand
            classes.append(DemoClass(organisation, demo_call_class, rate))
    return classes
