"""Tests of what instances tell each other of crashes."""

from __future__ import annotations

import random

import pytest

from savorychute.gateway.recovery.crash_book import CRASHES, TOLD_MS, CrashBook
from savorychute.gateway.recovery.crash_inquiry import (
    ASK_MS,
    ASKING_MS,
    CrashInquiry,
)
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_sighting import CrashSighting
from savorychute.gateway.recovery.crash_spread import SENDS, CrashSpread
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

NAMES = ('k0', 'k1', 'k2')


@pytest.fixture
def view():
    members = tuple(
        MemberAddress(name, 1, 'kerala', 'kochi', '10.0.0.1', 80, 70) for name in NAMES
    )
    return MemberView(members[0], members)


def see_crash(book, endpoint, now_ms):
    book.broke_off(CrashSighting('poison', endpoint), now_ms)
    book.endpoint_ended(endpoint, now_ms + 100)


def test_crashes_at_different_instances_add_up(view):
    """A poison request that wandered.

    Its caller sends it to another instance each time, and each sees one crash; only
    together they see three.
    """
    books = [CrashBook() for _ in range(CRASHES)]
    for number, book in enumerate(books):
        see_crash(book, f'd{number}', 1_000)
        for message in CrashSpread(book).tick(view, 1_200):
            for other in books:
                other.take_in(message.message.sightings, 1_300)

    assert all(book.is_suspect('poison', 1_400) for book in books)


def test_each_sighting_is_sent_a_few_times_to_each_other_instance(view):
    book = CrashBook()
    see_crash(book, 'd0', 1_000)
    spread = CrashSpread(book)

    sent = [
        action.instance
        for now_ms in range(1_200, 9_000, 100)
        for action in spread.tick(view, now_ms)
    ]

    assert sorted(sent) == sorted(NAMES[1:] * SENDS)


def test_instance_that_starts_later_learns_which_requests_crash_endpoints(view):
    """Guards against a request that crashes three endpoints more for each start."""
    old, new = CrashBook(), CrashBook()
    for number in range(CRASHES):
        see_crash(old, f'd{number}', 1_000)
    question = CrashInquiry(random.Random(1)).tick(view, 30_000)[0]
    assert isinstance(question.message, CrashQuestion)
    for answer in CrashSpread(old).answer(view.own, 30_000):
        news = answer.message
        new.take_in(news.sightings, 30_000 - news.age_ms)

    assert new.is_suspect('poison', 30_000)
    assert new.latest(8, 1_100 + TOLD_MS) == []


def test_questions_end_when_all_others_have_started_too(view):
    """Guards against questions that go on for the whole life of an instance."""
    inquiry = CrashInquiry(random.Random(1))
    asked = sum(len(inquiry.tick(view, now_ms)) for now_ms in range(0, 60_000, 100))

    assert asked == 2 * ASKING_MS // ASK_MS
