"""Fixtures of the recovery tests."""

from __future__ import annotations

import random

import pytest

from savorychute.member_address import MemberAddress
from savorychute.membership import MemberView
from savorychute.recovery import Ejector, EjectorSettings


@pytest.fixture
def make_documents():
    def make(count):
        return {
            f'e{number}': {
                'endpoint': f'e{number}',
                'dialect': 'openai',
                'host': '127.0.0.1',
                'port': 9000,
                'region': 'bengal',
                'failure_domain': 'howrah',
                'state': 'active',
                'concurrent_requests': 8,
                'models': ['clauses'],
            }
            for number in range(count)
        }

    return make


@pytest.fixture
def make_ejector(make_documents):
    def make(count=6, **settings):
        ejector = Ejector(EjectorSettings(**settings), random.Random(11))
        ejector.set_endpoints(make_documents(count))
        return ejector

    return make


@pytest.fixture
def make_view():
    def make(own, names):
        addresses = {
            name: MemberAddress(name, 1, 'bengal', 'howrah', '127.0.0.1', 0, 0)
            for name in names
        }
        return MemberView(addresses[own], tuple(addresses.values()))

    return make
