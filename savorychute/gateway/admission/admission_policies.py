"""Policies for requests that compete for the engines of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.admission.competition import Competition
from savorychute.registry import Registry

if TYPE_CHECKING:
    import random

    from savorychute.gateway.dispatch.shortages import Shortages


class AdmissionPolicy(Protocol):
    """Makes the rules that apply in addition to the load limits of engines."""

    def __call__(self, rng: random.Random, shortages: Shortages) -> Competition | None:
        """Return the rules, or None for the load limits alone.

        :param rng: draws requests and delays.
        :param shortages: tiers that are not served.
        """
        ...


ADMISSION_POLICIES: Registry[AdmissionPolicy] = Registry('admission policy')


@ADMISSION_POLICIES.register('load-limits')
def make_no_rules(rng: random.Random, shortages: Shortages) -> Competition | None:  # noqa: ARG001
    """Refuse requests by the load limits of engines alone."""
    return None


@ADMISSION_POLICIES.register('competition')
def make_competition(rng: random.Random, shortages: Shortages) -> Competition | None:
    """Refuse by deadlines and by the shares of organisations as well."""
    return Competition(rng, shortages)
