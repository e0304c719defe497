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
    texts = [issuer.issue(view, now_ms) for _ in range(keys)]
    return {parse_key(text).witness for text in texts}


def test_member_that_did_not_answer_is_no_witness_for_a_while():
    """Callers would be refused for seconds after an instance crashed.

    A witness dies; until its death is known it is alive in the view, and
    every key that names it ends in WITNESS_UNAVAILABLE.
    """
    members = make_members(6)
    view = MemberView(own=members[0], alive=members)
    issuer = KeyIssuer(members[0], random.Random(1))
    dead = min(list_witnesses(issuer, view, 0))

    issuer.note_unanswered(dead, 0)

    assert dead not in list_witnesses(issuer, view, 1_000)
    assert dead in list_witnesses(issuer, view, 60_000)


def test_suspected_member_is_the_last_choice():
    members = make_members(4)
    issuer = KeyIssuer(members[0], random.Random(1))
    chosen = list_witnesses(issuer, MemberView(members[0], members), 0)
    suspect = min(chosen)

    view = MemberView(members[0], members, suspects=frozenset({suspect}))
    only = MemberView(
        members[0],
        tuple(m for m in members if m.instance in ('i0', suspect)),
        suspects=frozenset({suspect}),
    )

    assert suspect not in list_witnesses(issuer, view, 0)
    assert list_witnesses(issuer, only, 0) == {suspect}
