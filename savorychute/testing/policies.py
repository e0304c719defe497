"""The policies that load runs compare."""

from __future__ import annotations

from savorychute.instance import InstanceSettings
from savorychute.registry import Registry

POLICIES: Registry[InstanceSettings] = Registry('policy')

DEFAULT_POLICY = 'default'

POLICIES.register(DEFAULT_POLICY)(InstanceSettings())
POLICIES.register('round-robin')(InstanceSettings(router_name='round-robin'))
POLICIES.register('least-outstanding')(
    InstanceSettings(router_name='least-outstanding')
)
POLICIES.register('fifo')(InstanceSettings(admission_name='fifo'))
POLICIES.register('simple')(
    InstanceSettings(admission_name='fifo', router_name='least-outstanding')
)
