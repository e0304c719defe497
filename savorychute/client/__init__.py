"""A client library for callers, built on asyncio.

It discovers the instances to use and caches their addresses, obtains request
keys, switches to another instance when one fails, and resumes streams.
"""

from __future__ import annotations

from savorychute.client.call_error import CallError
from savorychute.client.calls import ChatCall, ServiceCall
from savorychute.client.client import Client, open_client
from savorychute.client.client_settings import ClientSettings
from savorychute.client.tokens import Tokens
from savorychute.client.whole_answer import WholeAnswer

__all__ = [
    'CallError',
    'ChatCall',
    'Client',
    'ClientSettings',
    'ServiceCall',
    'Tokens',
    'WholeAnswer',
    'open_client',
]
