"""Interfaces to the platform: its log and its list of instances."""

from __future__ import annotations

from savorychute.platforms.http_listing import HttpListing
from savorychute.platforms.http_log import HttpLog
from savorychute.platforms.listing_port import LISTINGS, ListingPort
from savorychute.platforms.log_port import LOGS, LogPort

__all__ = ['LISTINGS', 'LOGS', 'HttpListing', 'HttpLog', 'ListingPort', 'LogPort']
