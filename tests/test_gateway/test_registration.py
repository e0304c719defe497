"""Tests of an instance's entry in the store."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from memory_topic import OWN, MemoryTopic, count_nothing

from savorychute.gateway.store.instance_entry import SECRET_KEY
from savorychute.gateway.store.registration import Registration
from savorychute.gateway.store.store_errors import (
    StoreUnavailableError,
    WriteFencedError,
)


def keep(inherited):
    """Say of this run what was said of the one before."""
    return inherited


def register(topic, address=OWN):
    registration = Registration(topic, address, count_nothing)
    asyncio.run(registration.register(keep))
    return registration


def test_secret_whose_write_was_not_answered_is_not_written_again():
    """Two halves that did not understand each other.

    The write of the secret takes effect and its answer is lost.  Another instance uses
    it at once; a second secret would replace it.
    """
    topic = MemoryTopic(lose=1)
    with pytest.raises(StoreUnavailableError):
        register(topic)

    first = register(topic)
    second = register(topic, OWN._replace(instance='k1'))

    assert topic.count(SECRET_KEY) == 1
    assert first.keys == second.keys


@pytest.mark.parametrize('leaves', [True, False])
def test_incarnation_is_larger_at_each_start(leaves):
    """An instance that its peers ignored.

    It left in order, so its entry was removed, and started again.  With the incarnation
    of its first run, peers took all of its messages for repetitions: its questions were
    not answered, and a new configuration reached it 2.5 s late.
    """
    topic = MemoryTopic()
    seen = []
    for _ in range(3):
        registration = register(topic)
        seen.append(registration.address.incarnation)
        if leaves:
            asyncio.run(registration.leave(0))

    assert seen == sorted(set(seen))


def test_entry_whose_write_was_not_answered_is_written_again():
    """An instance that its peers never heard of.

    The store is short of answers when an instance starts: the listing comes, the answer
    to its entry's write is lost.  The second try has the secret already and must not
    rely on anything that only the first one read.
    """
    topic = MemoryTopic()
    register(topic, OWN._replace(instance='k1'))
    topic.lose = 1
    registration = Registration(topic, OWN, count_nothing)
    with pytest.raises(StoreUnavailableError):
        asyncio.run(registration.register(keep))

    asyncio.run(registration.register(keep))

    assert registration.address.incarnation > 0
    assert [each.instance for each in registration.listing.live] == ['k1', 'k0']


def test_incarnation_is_larger_after_the_store_went_back():
    """A restarted instance that its peers ignored.

    The store comes back from a copy that is shorter than the topic was when the instance
    started first, so by the offset alone its second run looks older.
    """
    topic = MemoryTopic()
    for number in range(5):
        register(topic, OWN._replace(instance=f'k{number + 1}'))
    first = register(topic).address.incarnation
    topic.go_back(3)

    assert register(topic).address.incarnation > first


def test_entry_and_secret_that_a_copy_lacks_are_written_again():
    topic = MemoryTopic()
    registration = register(topic)
    keys = registration.keys
    topic.go_back(0)

    live = asyncio.run(registration.enter_again())

    assert registration.keys == keys
    assert live.entries == ()
    assert topic.count(SECRET_KEY) == 1
    assert [each.instance for each in register(topic).listing.live] == ['k0']


def test_secret_that_another_instance_wrote_meanwhile_is_used():
    """Two halves that did not understand each other.

    The copy is from before the first start, and an instance that starts finds no secret.
    """
    topic = MemoryTopic()
    old = register(topic)
    before = old.keys.signing
    topic.go_back(0)
    new = register(topic, OWN._replace(instance='k1'))

    asyncio.run(old.enter_again())

    assert old.keys.signing == new.keys.signing
    assert old.keys.find(before.key_id) == before
    assert before.key_id != new.keys.signing.key_id


def test_run_knows_what_the_one_before_said():
    topic = MemoryTopic()
    first = register(topic)
    asyncio.run(first.allow_repeats(9))
    second = register(topic)
    asyncio.run(second.leave(4))

    assert first.inherited is None
    assert second.inherited == 9
    assert register(topic).inherited == 4


def test_entry_of_a_first_try_is_not_taken_for_that_of_the_run_before():
    """Guards against a run that believes its own word in place of an earlier one."""
    topic = MemoryTopic()
    asyncio.run(register(topic).allow_repeats(9))
    topic.lose = 1
    registration = Registration(topic, OWN, count_nothing)
    with pytest.raises(StoreUnavailableError):
        asyncio.run(registration.register(lambda inherited: inherited - 5))

    asyncio.run(registration.register(keep))

    assert registration.inherited == 9


def test_instance_that_left_is_no_address_and_still_a_name():
    """Guards against a bound that is divided by too few while instances restart."""
    topic = MemoryTopic()
    asyncio.run(register(topic).leave(0))
    listing = register(topic, OWN._replace(instance='k1')).listing

    assert listing.live == ()
    assert listing.names == {'k0'}


def test_word_of_an_earlier_era_of_the_store_does_not_count():
    """Guards against the word of a run after which the store has lost another one."""
    topic = MemoryTopic()
    asyncio.run(register(topic).leave(0))
    register(topic)
    topic.go_back(3)

    assert register(topic).inherited is None


def test_word_that_the_store_takes_in_late_does_not_replace_a_later_one():
    """Guards against a run that is taken for an earlier one with fewer repeats."""
    topic = MemoryTopic()
    first = register(topic)
    write, late = topic.write, []

    async def hold(key, value, expected_end=None, fence=None):
        late.append((key, value, expected_end, fence))
        raise StoreUnavailableError('no answer')

    topic.write = hold
    with pytest.raises(StoreUnavailableError):
        asyncio.run(first.leave(0))
    topic.write = write
    asyncio.run(register(topic).allow_repeats(9))
    with pytest.raises(WriteFencedError):
        asyncio.run(topic.write(*late[0]))

    assert register(topic).inherited == 9


def test_entry_of_an_earlier_version_is_read():
    topic = MemoryTopic()
    value = msgspec.json.encode(OWN._replace(instance='k1'))
    asyncio.run(topic.write('k1', value))

    assert [each.instance for each in register(topic).listing.live] == ['k1']
