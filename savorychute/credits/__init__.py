"""Credits: how much of each endpoint an instance may use."""

from __future__ import annotations

from savorychute.credits.ledger import CreditLedger
from savorychute.credits.settings import CreditSettings

__all__ = ['CreditLedger', 'CreditSettings']
