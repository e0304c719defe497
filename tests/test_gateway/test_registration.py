"""Tests of an instance's entry in the store."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from memory_topic import OWN, MemoryTopic, ignore_call

from savorychute.gateway.store.instance_entry import SECRET_KEY
from savorychute.gateway.store.registration import Registration
from savorychute.gateway.store.store_errors import (
    StoreUnavailableError,
    WriteFencedError,
)


def keep_cap(inherited):
    """Use the retry cap of the previous run for this one."""
    return inherited


def register(topic, address=OWN):
    registration = Registration(topic, address, ignore_call)
    asyncio.run(registration.register(keep_cap))
    return registration


def test_secret_is_not_rewritten_after_a_lost_response():
    """Guards against two groups of instances with different secrets.

    The write of the secret takes effect and its response is lost. Another instance uses
    the secret at once; a second secret would replace it.
    """
    topic = MemoryTopic(responses_to_lose=1)
    with pytest.raises(StoreUnavailableError):
        register(topic)

    first = register(topic)
    second = register(topic, OWN._replace(instance='k1'))

    assert topic.count(SECRET_KEY) == 1
    assert first.keys == second.keys


@pytest.mark.parametrize('leaves', [True, False])
def test_incarnation_grows_at_each_start(leaves):
    """Guards against a restarted instance that its peers ignore.

    An instance leaves gracefully, so its entry is removed, and starts again. With the
    incarnation of its first run, peers would take all of its messages for duplicates:
    its queries get no response, and a new configuration reaches it 2.5 s late.
    """
    topic = MemoryTopic()
    seen = []
    for _ in range(3):
        registration = register(topic)
        seen.append(registration.address.incarnation)
        if leaves:
            asyncio.run(registration.leave(0))

    assert seen == sorted(set(seen))


def test_entry_is_rewritten_after_a_lost_response():
    """Guards against an instance that is unknown to its peers.

    When an instance starts, the listing succeeds, but the response to the write of its
    entry is lost. The second attempt finds the secret and must not rely on anything
    that only the first attempt read.
    """
    topic = MemoryTopic()
    register(topic, OWN._replace(instance='k1'))
    topic.responses_to_lose = 1
    registration = Registration(topic, OWN, ignore_call)
    with pytest.raises(StoreUnavailableError):
        asyncio.run(registration.register(keep_cap))

    asyncio.run(registration.register(keep_cap))

    assert registration.address.incarnation > 0
    assert [each.instance for each in registration.listing.live] == ['k1', 'k0']


def test_incarnation_grows_after_an_older_copy_is_restored():
    """Guards against a restarted instance that its peers ignore.

    The store is restored from a copy that is shorter than the topic was when the
    instance first started, so by the offset alone its second run would seem older.
    """
    topic = MemoryTopic()
    for number in range(5):
        register(topic, OWN._replace(instance=f'k{number + 1}'))
    first = register(topic).address.incarnation
    topic.restore_older_copy(3)

    assert register(topic).address.incarnation > first


def test_entry_and_secret_missing_from_a_copy_are_rewritten():
    topic = MemoryTopic()
    registration = register(topic)
    keys = registration.keys
    topic.restore_older_copy(0)

    listing = asyncio.run(registration.restore_entry())

    assert registration.keys == keys
    assert listing.entries == ()
    assert topic.count(SECRET_KEY) == 1
    assert [each.instance for each in register(topic).listing.live] == ['k0']


def test_secret_written_by_another_instance_meanwhile_is_used():
    """Guards against two groups of instances with different secrets.

    The copy is older than the first start, so a newly started instance finds no secret.
    """
    topic = MemoryTopic()
    old = register(topic)
    before = old.keys.signing
    topic.restore_older_copy(0)
    new = register(topic, OWN._replace(instance='k1'))

    asyncio.run(old.restore_entry())

    assert old.keys.signing == new.keys.signing
    assert old.keys.find(before.key_id) == before
    assert before.key_id != new.keys.signing.key_id


def test_run_inherits_the_retry_cap_of_the_previous_run():
    topic = MemoryTopic()
    first = register(topic)
    asyncio.run(first.write_retry_cap(9))
    second = register(topic)
    asyncio.run(second.leave(4))

    assert first.inherited_cap is None
    assert second.inherited_cap == 9
    assert register(topic).inherited_cap == 4


def test_entry_of_a_failed_registration_is_not_inherited():
    """Guards against a run that inherits the retry cap of its own earlier attempt."""
    topic = MemoryTopic()
    asyncio.run(register(topic).write_retry_cap(9))
    topic.responses_to_lose = 1
    registration = Registration(topic, OWN, ignore_call)
    with pytest.raises(StoreUnavailableError):
        asyncio.run(registration.register(lambda inherited: inherited - 5))

    asyncio.run(registration.register(keep_cap))

    assert registration.inherited_cap == 9


def test_instance_that_left_keeps_its_name_in_the_listing():
    """Guards against a retry bound divided by too few instances during restarts."""
    topic = MemoryTopic()
    asyncio.run(register(topic).leave(0))
    listing = register(topic, OWN._replace(instance='k1')).listing

    assert listing.live == ()
    assert listing.names == {'k0'}


def test_retry_cap_of_an_earlier_era_is_not_inherited():
    """Guards against the entry of a run whose successor's entry the store has lost."""
    topic = MemoryTopic()
    asyncio.run(register(topic).leave(0))
    register(topic)
    topic.restore_older_copy(3)

    assert register(topic).inherited_cap is None


def test_delayed_write_does_not_replace_a_later_entry():
    """Guards against inheriting the smaller retry cap of an earlier run."""
    topic = MemoryTopic()
    first = register(topic)
    write, delayed_writes = topic.write, []

    async def delay_write(key, value, expected_end=None, fence=None):
        delayed_writes.append((key, value, expected_end, fence))
        raise StoreUnavailableError('no response')

    topic.write = delay_write
    with pytest.raises(StoreUnavailableError):
        asyncio.run(first.leave(0))
    topic.write = write
    asyncio.run(register(topic).write_retry_cap(9))
    with pytest.raises(WriteFencedError):
        asyncio.run(topic.write(*delayed_writes[0]))

    assert register(topic).inherited_cap == 9


def test_entry_of_an_earlier_version_is_decoded():
    topic = MemoryTopic()
    value = msgspec.json.encode(OWN._replace(instance='k1'))
    asyncio.run(topic.write('k1', value))

    assert [each.instance for each in register(topic).listing.live] == ['k1']
