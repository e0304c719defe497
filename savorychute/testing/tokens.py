"""Bearer tokens of simulations."""

from __future__ import annotations

from savorychute.instance.directory import hash_token

OPERATOR_TOKEN = 'token-operator'


def hash_operator_token() -> str:
    """Return the hash of the operator token, for the settings of instances."""
    return hash_token(OPERATOR_TOKEN)


def hash_organisation_token(organisation: str) -> str:
    """Return the hash of an organisation's token, for its contract."""
    return hash_token(f'token-{organisation}')
