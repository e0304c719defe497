"""Limits for the admission tests."""

from __future__ import annotations

from savorychute.contracts.class_limits import ClassLimits
from savorychute.contracts.organisation_limits import OrganisationLimits


def build_class(organisation, name, tier, *, patient=False, queue_requests=100_000):
    return ClassLimits(
        organisation=organisation,
        name=name,
        tier=tier,
        first_token_target_ms=300 * (tier + 1),
        token_gap_target_ms=50,
        timeout_ms=10_000,
        weight=1.0,
        idempotent=True,
        patient=patient,
        minimum_share=0.05,
        queue_requests=queue_requests,
        queue_wait_ms=9_000,
        priority=tier,
    )


def build_limits(shares, tiers=(0, 1, 2), **options):
    """Return limits of organisations that have one class, ``tN``, in each tier."""
    return {
        organisation: OrganisationLimits(
            organisation=organisation,
            pool_share=share,
            requests_per_s=100.0,
            concurrent_requests=100,
            tokens_per_s=100_000.0,
            retry_share=0.1,
            seats=3,
            classes={
                f't{tier}': build_class(organisation, f't{tier}', tier, **options)
                for tier in tiers
            },
        )
        for organisation, share in shares.items()
    }
