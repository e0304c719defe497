"""Operators' changes, from the proposal to the state of all instances."""

from __future__ import annotations

import msgspec

from benches.configuration_rig import make_contract
from savorychute.result_code import ResultCode


def test_accepted_change_is_in_force_on_all_instances(cluster):
    command = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(3_000)
    reply = cluster.replies[command]
    assert reply.code is ResultCode.OK
    assert msgspec.json.decode(reply.document)['version'] == 1
    assert {each.instance for each in cluster.applied} == {'a', 'b', 'c'}
    digests = {manager.state.digest for manager in cluster.managers.values()}
    assert len(digests) == 1


def test_nothing_is_accepted_before_the_read_back(cluster):
    """The log accepts the append and then does not respond to reads.

    A reply 'accepted' that relies on the append alone could be wrong, because the
    record of another operator may precede this one in the log.
    """
    cluster.cut_from_log = {'a', 'b', 'c'}
    command = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(2_000)
    assert command not in cluster.replies
    cluster.wait(4_000)
    reply = cluster.replies[command]
    assert reply.code is ResultCode.CHANGE_UNCONFIRMED
    assert msgspec.json.decode(reply.document)['record_id']


def test_lost_append_response_is_resolved_by_reading_without_a_retry(cluster):
    """The log accepts the record, and its response is lost in the network."""
    cluster.log.lose_replies = True
    command = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(3_000)
    assert cluster.replies[command].code is ResultCode.OK
    assert cluster.log.appends == 1


def test_racing_operators_get_one_success_and_one_conflict(cluster):
    """Two operators amend one contract through two instances at once.

    The base version is in force on both instances, so both records are appended to
    the log.  The reply to the second one contains the document in force.
    """
    first = cluster.propose('a', 'contract:m', 0, make_contract('m', 0.1))
    second = cluster.propose('b', 'contract:m', 0, make_contract('m', 0.2))
    cluster.wait(3_000)
    assert cluster.replies[first].code is ResultCode.OK
    assert cluster.replies[second].code is ResultCode.VERSION_CONFLICT
    reply_document = msgspec.json.decode(cluster.replies[second].document)
    assert reply_document['version'] == 1
    assert reply_document['document']['pool_share'] == 0.1


def test_change_during_a_log_outage_is_refused_at_once(cluster):
    cluster.log.is_up = False
    first = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(100)
    assert cluster.replies[first].code is ResultCode.LOG_UNAVAILABLE
    second = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    assert cluster.replies[second].code is ResultCode.LOG_UNAVAILABLE
    cluster.log.is_up = True
    cluster.wait(10_000)
    third = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(3_000)
    assert cluster.replies[third].code is ResultCode.OK


def test_new_instance_joins_with_the_newest_state(cluster):
    cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(3_000)
    cluster.add('d')
    assert not cluster.managers['d'].ready
    cluster.wait(7_000)
    assert cluster.managers['d'].ready
    assert cluster.managers['d'].state.digest == cluster.managers['a'].state.digest


def propose_again(cluster, name, record_id, item='contract:m'):
    command_id = f'again-{name}-{cluster.now_ms}'
    actions = cluster.managers[name].propose(
        command_id, 'asha', item, 0, make_contract('m'), 'x', cluster.now_ms, record_id
    )
    cluster.perform(name, actions)
    return command_id


def test_change_proposed_again_by_its_record_id_has_one_effect(cluster):
    """The response of the log is lost, and the append is delayed by 10 s.

    The operator receives 'unconfirmed', proposes again at another instance with the
    record id, and gets a reply.  Afterwards the first append arrives as well.
    """
    cluster.late_append_ms = 10_000
    first = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(6_000)
    reply_document = msgspec.json.decode(cluster.replies[first].document)
    assert cluster.replies[first].code is ResultCode.CHANGE_UNCONFIRMED
    cluster.late_append_ms = 0
    second = propose_again(cluster, 'b', reply_document['record_id'])
    cluster.wait(2_000)
    assert cluster.replies[second].code is ResultCode.OK
    cluster.wait(10_000)
    third = propose_again(cluster, 'c', reply_document['record_id'])
    assert cluster.replies[third].code is ResultCode.OK
    assert cluster.log.appends == 2
    manager = cluster.managers['a']
    assert [each.version for each in manager.history('contract:m')] == [1]
    assert manager.status(cluster.now_ms).repeated_records == 1


def test_record_id_of_another_change_is_refused(cluster):
    first = cluster.propose('a', 'contract:m', 0, make_contract('m'))
    cluster.wait(3_000)
    record_id = msgspec.json.decode(cluster.replies[first].document)['record_id']
    second = propose_again(cluster, 'a', record_id, item='contract:n')
    assert cluster.replies[second].code is ResultCode.INVALID_CHANGE


def test_two_commands_can_wait_for_one_record(cluster):
    first = propose_again(cluster, 'a', 'r-1')
    cluster.now_ms += 1
    second = propose_again(cluster, 'a', 'r-1')
    cluster.wait(3_000)
    assert cluster.replies[first].code is ResultCode.OK
    assert cluster.replies[second].code is ResultCode.OK
    assert cluster.log.appends == 1


def test_rejected_change_stays_visible_with_its_reason(cluster):
    cluster.propose('a', 'contract:m', 0, make_contract('m', 0.7))
    cluster.wait(3_000)
    cluster.propose('b', 'contract:n', 0, make_contract('n', 0.7))
    cluster.wait(3_000)
    for manager in cluster.managers.values():
        (verdict,) = manager.rejected()
        assert verdict.item == 'contract:n'
        assert 'above 1' in verdict.message
