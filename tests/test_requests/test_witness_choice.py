"""Tests of the choice of witnesses."""

from __future__ import annotations

import random

from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.requests.key_issuer import KeyIssuer
from savorychute.requests.request_key import parse_key


def make_members(count):
    return tuple(
        MemberAddress(f'i{n}', 1, 'north', f'hall-{n % 3}', '10.0.0.1', 8000 + n, n)
        for n in range(count)
    )


def list_witnesses(issuer, view, now_ms, keys=8):
    key_texts = [issuer.issue(view, now_ms) for _ in range(keys)]
    return {parse_key(text).witness for text in key_texts}


def test_unresponsive_member_is_not_chosen_as_witness_for_a_while():
    """Guards against refusing callers for seconds after an instance has crashed.

    A witness crashes; until the crash is detected it is alive in the view, and each
    key that names it ends in WITNESS_UNAVAILABLE.
    """
    members = make_members(6)
    view = MemberView(own=members[0], alive=members)
    issuer = KeyIssuer(members[0], random.Random(1))
    crashed = min(list_witnesses(issuer, view, 0))

    issuer.record_unresponsive(crashed, 0)

    assert crashed not in list_witnesses(issuer, view, 1_000)
    assert crashed in list_witnesses(issuer, view, 60_000)


def test_suspected_member_is_chosen_last():
    members = make_members(4)
    issuer = KeyIssuer(members[0], random.Random(1))
    chosen = list_witnesses(issuer, MemberView(members[0], members), 0)
    suspect = min(chosen)

    view = MemberView(members[0], members, suspects=frozenset({suspect}))
    view_of_suspect = MemberView(
        members[0],
        tuple(m for m in members if m.instance in ('i0', suspect)),
        suspects=frozenset({suspect}),
    )

    assert suspect not in list_witnesses(issuer, view, 0)
    assert list_witnesses(issuer, view_of_suspect, 0) == {suspect}
