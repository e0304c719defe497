"""What the demonstration's callers ask, and how often."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.testing.call import CallClass  # noqa: TC001
from savorychute.testing.profiles import HOOGHLY_CLASSES, MALANADU_CLASSES

SERVICE = 'register'


class DemoClass(NamedTuple):
    """An organisation's class and the rate of its calls."""

    organisation: str
    call_class: CallClass
    rate_per_s: float


def list_classes(rate_per_s: float) -> list[DemoClass]:
    """Return every class of both organisations.

    :param rate_per_s: of all calls of one organisation together.
    """
    classes = []
    for organisation, call_classes in (
        ('malanadu', MALANADU_CLASSES),
        ('hooghly', HOOGHLY_CLASSES),
    ):
        for call_class in call_classes:
            service = SERVICE if call_class.service else ''
            stated = call_class._replace(service=service)
            rate = rate_per_s * call_class.demand
            classes.append(DemoClass(organisation, stated, rate))
    return classes
