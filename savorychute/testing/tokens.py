"""The bearer tokens of virtual runs."""

from __future__ import annotations

import hashlib

OPERATOR_TOKEN = 'token-operator'


def hash_operator_token() -> str:
    """Return the digest that the instances' settings hold."""
    return hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()


def hash_customer_token(customer: str) -> str:
    """Return the digest that a customer's contract holds."""
    return hashlib.sha256(f'token-{customer}'.encode()).hexdigest()
