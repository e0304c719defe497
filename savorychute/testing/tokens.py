"""The bearer tokens of virtual runs."""

from __future__ import annotations

from savorychute.instance.directory import hash_token

OPERATOR_TOKEN = 'token-operator'


def hash_operator_token() -> str:
    """Return the digest that the instances' settings hold."""
    return hash_token(OPERATOR_TOKEN)


def hash_organisation_token(organisation: str) -> str:
    """Return the digest that an organisation's contract holds."""
    return hash_token(f'token-{organisation}')
