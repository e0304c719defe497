"""The structure of scenario files."""

from __future__ import annotations

import msgspec

from savorychute.testing.faults.fault_step import FaultStep  # noqa: TC001


class LoadSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Background load.

    ``capacity_share`` states the rate as a share of the capacity of the engines.
    ``factors`` multiplies the rates of classes, by name.
    """

    duration_ms: float = 20_000.0
    capacity_share: float = 0.0
    requests_per_s: float = 0.0
    factors: dict[str, float] = {}


class Expectation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A condition that must hold at the end.

    Either ``promise`` names an invariant, or is ``all``; or ``measure`` names a
    figure of the run, or of a class with ``class``, with its bounds.
    """

    promise: str = ''
    measure: str = ''
    class_name: str = msgspec.field(default='', name='class')
    at_least: float | None = None
    at_most: float | None = None


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A scenario file.

    ``systems`` names the profiles that the scenario applies to.  The times of
    ``at`` are relative to the start of the load.
    """

    name: str
    story: str
    systems: tuple[str, ...] = ('small',)
    seed: int = 1
    load: LoadSpec = LoadSpec()
    at: tuple[FaultStep, ...] = ()
    expect: tuple[Expectation, ...] = ()
    most_ms: float = 240_000.0
