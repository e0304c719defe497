"""Describes what vouches for the response of an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

NAMED_REQUESTS = {
    'own': 'named the request',
    'other': 'named another request',
    'none': 'named no request',
}


def describe_evidence(fields: Mapping[str, Any]) -> str:
    """Return what an attempt received, on which connection, and if it was believed.

    :param fields: the fields of its line, which earlier versions wrote without these.
    """
    if 'naming' not in fields:
        return ''
    naming = fields['naming']
    if naming is None and not fields.get('connection'):
        return '; it was not sent'
    if naming is None:
        return f'; no response came {_describe_connection(fields)}'
    text = (
        f'; the response with status {fields.get("status")} {_describe_naming(fields)}'
    )
    text += f', {_describe_connection(fields)}'
    reason = fields.get('disbelieved')
    return text + (f'; it was not believed ({reason})' if reason else '')


def describe_source(fields: Mapping[str, Any]) -> str:
    """Return what the last response named, and its connection, if there was one.

    :param fields: the fields of the line of a request.
    """
    if fields.get('naming') is None:
        return ''
    named = _describe_naming(fields)
    return f'; the last response {named}, {_describe_connection(fields)}'


def _describe_naming(fields: Mapping[str, Any]) -> str:
    naming = fields['naming']
    text = NAMED_REQUESTS.get(naming, f'named {naming}')
    return text + (f' ({fields["named_id"]})' if fields.get('named_id') else '')


def _describe_connection(fields: Mapping[str, Any]) -> str:
    calls_before = fields.get('calls_before')
    text = f'on connection {fields.get("connection")}'
    if not calls_before:
        return f'{text} as its first call'
    return f'{text} after {calls_before} other call{"s" * (calls_before != 1)}'
