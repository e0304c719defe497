"""Fetch the platform's list of instances."""

from __future__ import annotations

from typing import NamedTuple


class FetchListing(NamedTuple):
    """Fetch the list; the host delivers ``ListingFetched``."""
