"""Costs of writing snapshots of the configuration."""

from __future__ import annotations

from benches.capacity_roles.configuration_role import build_fold
from benches.capacity_roles.measuring import time_us
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.target import SIZES
from savorychute.clock import MS_PER_S
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.configuration.snapshot_codec import encode_state, split_state


@role(
    'snapshot writer',
    'one instance, by the first jittered timer, writes the state in parts of '
    '128 KB every six hours; averaged here over all instances',
    'the time of one encoding, during which the loop of that instance stands '
    'still; it would be encoded in slices',
    SIZES,
)
def measure_snapshot(instances: int) -> RoleSample:
    """Measure one snapshot of the configuration state.

    :param instances: the size of the system.
    """
    fold = build_fold(instances)
    settings = ConfigurationSettings()
    encoded_state = encode_state(fold)
    parts = split_state(encoded_state, settings.snapshot_part_bytes)
    encoding_us = time_us(lambda: encode_state(fold))
    interval_s = settings.snapshot_interval_ms / MS_PER_S
    return RoleSample(
        instances,
        state_bytes=float(len(encoded_state)),
        processor_us_per_s=encoding_us / interval_s / instances,
        busiest_loop_ms=encoding_us / MS_PER_S,
        log_appends_per_s=len(parts) / interval_s / instances,
    )
