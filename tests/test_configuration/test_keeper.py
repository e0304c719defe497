"""Operators' changes through instances, the log and the spread."""

from __future__ import annotations

import msgspec

from benches.configuration_rig import make_contract
from savorychute.result_code import ResultCode


def test_accepted_change_is_in_force_on_all_instances(rig):
    command = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(3_000)
    reply = rig.replies[command]
    assert reply.code is ResultCode.OK
    assert msgspec.json.decode(reply.document)['version'] == 1
    assert {each.instance for each in rig.applied} == {'a', 'b', 'c'}
    digests = {keeper.state.digest for keeper in rig.managers.values()}
    assert len(digests) == 1


def test_nothing_is_accepted_before_the_read_back(rig):
    """The log takes the append and then does not answer reads.

    An answer 'accepted' from the append alone would be a guess about the fold:
    another operator's record may come first.
    """
    rig.cut_from_log = {'a', 'b', 'c'}
    command = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(2_000)
    assert command not in rig.replies
    rig.wait(4_000)
    reply = rig.replies[command]
    assert reply.code is ResultCode.CHANGE_UNCONFIRMED
    assert msgspec.json.decode(reply.document)['record_id']


def test_lost_append_reply_is_looked_up_and_not_repeated(rig):
    """The log takes the record and its reply is lost on the way."""
    rig.log.lose_replies = True
    command = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(3_000)
    assert rig.replies[command].code is ResultCode.OK
    assert rig.log.appends == 1


def test_racing_operators_get_one_success_and_one_conflict(rig):
    """Two operators amend one contract through two instances at once.

    Both instances have the base version in force, so both records go into the
    log; the one that comes second is told what is in force instead.
    """
    first = rig.propose('a', 'contract:m', 0, make_contract('m', 0.1))
    second = rig.propose('b', 'contract:m', 0, make_contract('m', 0.2))
    rig.wait(3_000)
    assert rig.replies[first].code is ResultCode.OK
    assert rig.replies[second].code is ResultCode.VERSION_CONFLICT
    answer = msgspec.json.decode(rig.replies[second].document)
    assert answer['version'] == 1
    assert answer['document']['pool_share'] == 0.1


def test_change_during_a_log_outage_is_refused_at_once(rig):
    rig.log.is_up = False
    first = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(100)
    assert rig.replies[first].code is ResultCode.LOG_UNAVAILABLE
    second = rig.propose('a', 'contract:m', 0, make_contract('m'))
    assert rig.replies[second].code is ResultCode.LOG_UNAVAILABLE
    rig.log.is_up = True
    rig.wait(10_000)
    third = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(3_000)
    assert rig.replies[third].code is ResultCode.OK


def test_new_instance_joins_and_has_the_newest(rig):
    rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(3_000)
    rig.add('d')
    assert not rig.managers['d'].ready
    rig.wait(7_000)
    assert rig.managers['d'].ready
    assert rig.managers['d'].state.digest == rig.managers['a'].state.digest


def propose_again(rig, name, record_id, item='contract:m'):
    command_id = f'again-{name}-{rig.now_ms}'
    actions = rig.managers[name].propose(
        command_id, 'asha', item, 0, make_contract('m'), 'x', rig.now_ms, record_id
    )
    rig.perform(name, actions)
    return command_id


def test_change_proposed_again_by_its_record_id_has_one_effect(rig):
    """The reply is lost and the append is stuck on the way for ten seconds.

    The operator is told 'unconfirmed', proposes again at another instance with
    the record id, and gets an answer; then the first append arrives as well.
    """
    rig.late_append_ms = 10_000
    first = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(6_000)
    answer = msgspec.json.decode(rig.replies[first].document)
    assert rig.replies[first].code is ResultCode.CHANGE_UNCONFIRMED
    rig.late_append_ms = 0
    second = propose_again(rig, 'b', answer['record_id'])
    rig.wait(2_000)
    assert rig.replies[second].code is ResultCode.OK
    rig.wait(10_000)
    third = propose_again(rig, 'c', answer['record_id'])
    assert rig.replies[third].code is ResultCode.OK
    assert rig.log.appends == 2
    keeper = rig.managers['a']
    assert [each.version for each in keeper.history('contract:m')] == [1]
    assert keeper.status(rig.now_ms).repeated_records == 1


def test_record_id_of_another_change_is_refused(rig):
    first = rig.propose('a', 'contract:m', 0, make_contract('m'))
    rig.wait(3_000)
    record_id = msgspec.json.decode(rig.replies[first].document)['record_id']
    second = propose_again(rig, 'a', record_id, item='contract:n')
    assert rig.replies[second].code is ResultCode.INVALID_CHANGE


def test_two_commands_may_wait_for_one_record(rig):
    first = propose_again(rig, 'a', 'r-1')
    rig.now_ms += 1
    second = propose_again(rig, 'a', 'r-1')
    rig.wait(3_000)
    assert rig.replies[first].code is ResultCode.OK
    assert rig.replies[second].code is ResultCode.OK
    assert rig.log.appends == 1


def test_rejected_change_stays_visible_with_its_reason(rig):
    rig.propose('a', 'contract:m', 0, make_contract('m', 0.7))
    rig.wait(3_000)
    rig.propose('b', 'contract:n', 0, make_contract('n', 0.7))
    rig.wait(3_000)
    for keeper in rig.managers.values():
        (verdict,) = keeper.rejected()
        assert verdict.item == 'contract:n'
        assert 'above 1' in verdict.message
