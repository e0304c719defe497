"""Recovery from failures: retries, ejection of endpoints, quarantine of requests."""

from __future__ import annotations

from savorychute.recovery.ejector import Ejector
from savorychute.recovery.ejector_settings import EjectorSettings
from savorychute.recovery.endpoint_change import EndpointChange
from savorychute.recovery.endpoint_health import EndpointHealth
from savorychute.recovery.leaving_broadcaster import LeavingBroadcaster
from savorychute.recovery.leaving_news import LeavingNews
from savorychute.recovery.poison_digest import PoisonDigest
from savorychute.recovery.poison_entry import PoisonEntry
from savorychute.recovery.poison_news import PoisonNews
from savorychute.recovery.poison_verdict import PoisonVerdict
from savorychute.recovery.quarantine import Quarantine
from savorychute.recovery.quarantine_settings import QuarantineSettings
from savorychute.recovery.retry_budget import RetryBudget
from savorychute.recovery.retry_settings import RetrySettings

__all__ = [
    'Ejector',
    'EjectorSettings',
    'EndpointChange',
    'EndpointHealth',
    'LeavingBroadcaster',
    'LeavingNews',
    'PoisonDigest',
    'PoisonEntry',
    'PoisonNews',
    'PoisonVerdict',
    'Quarantine',
    'QuarantineSettings',
    'RetryBudget',
    'RetrySettings',
]
