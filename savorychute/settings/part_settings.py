"""Conversion of file settings to the settings of the instance and of the daemon."""

from __future__ import annotations

from savorychute.admission import AdmissionSettings
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.credits import CreditSettings
from savorychute.daemon.host_settings import HostSettings
from savorychute.http.client_pool import PoolSettings, ServerAddress
from savorychute.http.http_limits import HttpLimits
from savorychute.instance.instance_settings import InstanceSettings
from savorychute.membership import DiscoverySettings, MembershipSettings
from savorychute.recovery import EjectorSettings, QuarantineSettings
from savorychute.requests.key_settings import KeySettings
from savorychute.routing import RoutingSettings
from savorychute.settings.settings import Settings  # noqa: TC001


def make_instance_settings(settings: Settings) -> InstanceSettings:
    """Return the settings of an instance and its parts.

    :param settings: the settings of the file.
    """
    return InstanceSettings(
        operator_token_hashes=settings.operator_token_hashes,
        admission_name=settings.admission,
        router_name=settings.router,
        max_retries=settings.max_retries,
        first_progress_timeout_ms=settings.first_progress_timeout_ms,
        gap_timeout_ms=settings.gap_timeout_ms,
        admission=AdmissionSettings(
            max_requests=settings.max_queued_requests,
            max_bytes=settings.max_queued_bytes,
        ),
        configuration=ConfigurationSettings(
            poll_interval_ms=settings.configuration_poll_interval_ms
        ),
        credits=CreditSettings(subset_size=settings.endpoint_subset),
        discovery=_make_discovery_settings(settings),
        ejection=EjectorSettings(ejection_ms=settings.ejection_ms),
        keys=_make_key_settings(settings),
        membership=_make_membership_settings(settings),
        quarantine=QuarantineSettings(
            quarantine_lifetime_ms=settings.quarantine_lifetime_ms
        ),
        routing=RoutingSettings(poll_interval_ms=settings.load_poll_interval_ms),
    )


def make_host_settings(settings: Settings) -> HostSettings:
    """Return the addresses that a daemon listens on and connects to, and its limits.

    :param settings: the settings of the file.
    """
    return HostSettings(
        instance=settings.instance,
        region=settings.region,
        failure_domain=settings.failure_domain,
        host=settings.host,
        log_address=ServerAddress(*settings.log_address),
        list_address=ServerAddress(*settings.list_address),
        peer_keys=settings.peer_keys,
        bind_host=settings.bind_host,
        caller_port=settings.caller_port,
        peer_port=settings.peer_port,
        log_dialect=settings.log_dialect,
        list_dialect=settings.list_dialect,
        platform_timeout_ms=settings.platform_timeout_ms,
        poll_timeout_ms=settings.poll_timeout_ms,
        order_timeout_ms=settings.order_timeout_ms,
        leave_grace_ms=settings.leave_grace_ms,
        tls_certificate_file=settings.tls_certificate_file,
        tls_key_file=settings.tls_key_file,
        tls_reload_interval_ms=settings.tls_reload_interval_ms,
        http=_make_http_limits(settings),
        pool=PoolSettings(connect_timeout_ms=settings.connect_timeout_ms),
    )


def _make_http_limits(settings: Settings) -> HttpLimits:
    return HttpLimits(
        connections=settings.max_connections,
        header_bytes=settings.max_header_bytes,
        body_bytes=settings.max_body_bytes,
        buffered_bytes=settings.max_buffers_bytes,
        header_timeout_ms=settings.header_timeout_ms,
        body_timeout_ms=settings.body_timeout_ms,
        idle_timeout_ms=settings.idle_timeout_ms,
        stalled_ms=settings.stalled_timeout_ms,
    )


def _make_discovery_settings(settings: Settings) -> DiscoverySettings:
    return DiscoverySettings(
        min_seats=settings.discovery_seats,
        min_lifetime_ms=settings.discovery_min_lifetime_ms,
        max_lifetime_ms=settings.discovery_max_lifetime_ms,
    )


def _make_key_settings(settings: Settings) -> KeySettings:
    return KeySettings(
        key_lifetime_ms=settings.key_lifetime_ms,
        outcome_lifetime_ms=settings.outcome_lifetime_ms,
        outcome_max_count=settings.max_outcomes,
        outcome_max_bytes=settings.max_outcomes_bytes,
    )


def _make_membership_settings(settings: Settings) -> MembershipSettings:
    return MembershipSettings(
        probe_period_ms=settings.probe_interval_ms,
        probe_timeout_ms=settings.probe_timeout_ms,
        suspicion_ms=settings.suspicion_ms,
        gossip_period_ms=settings.gossip_interval_ms,
        listing_period_ms=settings.listing_interval_ms,
    )
