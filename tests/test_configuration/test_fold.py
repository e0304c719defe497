"""The fold is deterministic and accepts any content of the log."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benches.configuration_rig import make_contract, make_endpoint
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.verdict_memory import REMEMBERED_OFFSETS
from savorychute.inputs.log_record import LogRecord
from savorychute.result_code import ResultCode


def test_amendment_of_the_version_in_force_is_accepted(fold, amend):
    step = amend(fold, 'contract:malanadu', 0, make_contract('malanadu'))
    assert step.verdict.accepted
    assert fold.state.contracts['malanadu']['pool_share'] == 0.0005
    assert fold.state.versions == {'contract:malanadu': 1}
    step = amend(fold, 'contract:malanadu', 1, make_contract('malanadu', 0.25))
    assert step.change.from_version == 1
    assert step.change.to_version == 2
    assert fold.state.contracts['malanadu']['pool_share'] == 0.25


def test_second_of_two_racing_operators_gets_a_conflict(fold, amend):
    """Two operators read version 1 and both amend it.

    The log orders the two amendments.  If the second were accepted as well, it would
    silently revert the change of the first.
    """
    amend(fold, 'contract:malanadu', 0, make_contract('malanadu'))
    amend(fold, 'contract:malanadu', 1, make_contract('malanadu', 0.25))
    step = amend(fold, 'contract:malanadu', 1, make_contract('malanadu', 0.5))
    assert step.verdict.code is ResultCode.VERSION_CONFLICT
    assert step.verdict.version == 2
    assert fold.state.contracts['malanadu']['pool_share'] == 0.25


def test_unrelated_amendments_with_old_offsets_commute(fold, amend):
    amend(fold, 'contract:a', 0, make_contract('a'))
    amend(fold, 'contract:b', 0, make_contract('b'))
    step = amend(fold, 'contract:a', 1, make_contract('a', 0.3), seen_offset=0)
    assert step.verdict.accepted


def test_record_appended_twice_has_one_effect(fold, amend):
    """A delayed duplicate of an append must not restore a removed contract.

    An operator creates a contract and removes it.  The response to the first append
    was lost, and a copy of the record is delayed in the network.  It reaches the log
    after the removal, when its base version 0 is in force again.
    """
    amend(fold, 'contract:a', 0, make_contract('a'), record_id='first')
    amend(fold, 'contract:a', 1, None)
    step = amend(
        fold, 'contract:a', 0, make_contract('a'), record_id='first', seen_offset=-1
    )
    assert step.repeated
    assert step.verdict is None
    assert 'a' not in fold.state.contracts


def test_record_too_late_to_be_distinguished_from_a_repetition_is_rejected(fold, amend):
    """The duplicate record of the test above arrives after its id was discarded."""
    amend(fold, 'contract:a', 0, make_contract('a'), record_id='first')
    amend(fold, 'contract:a', 1, None)
    for _ in range(REMEMBERED_OFFSETS):
        fold.apply(LogRecord(fold.state.offset + 1, b'noise'))
    assert fold.verdicts.find('first') is None
    step = amend(
        fold, 'contract:a', 0, make_contract('a'), record_id='first', seen_offset=-1
    )
    assert step.verdict.code is ResultCode.INVALID_CHANGE
    assert 'a' not in fold.state.contracts


@pytest.mark.parametrize(
    'changes, fault',
    [
        ({'pool_share': 1.5}, 'pool_share'),
        ({'requests_per_s': 0}, 'requests_per_s'),
        ({'concurrent_requests': -1}, 'concurrent_requests'),
        ({'tokens_per_s': 10**400}, ''),
        ({'concurrent_requests': 2.5}, 'concurrent_requests'),
        ({'token_hashes': ['abc']}, 'token_hashes'),
        ({'token_hashes': ['0' * 64, '0' * 64]}, 'stands twice'),
        ({'models': ['service:x']}, 'models'),
        ({'models': ['m', 'm']}, 'stands twice'),
        ({'classes': []}, 'classes'),
        ({'colour': 'red'}, 'colour: unknown field'),
        ({'organisation': 'other'}, "about 'other'"),
        ({'retry_share': 2.0}, 'retry_share'),
    ],
)
def test_contract_that_breaks_its_own_rules_is_rejected(fold, amend, changes, fault):
    step = amend(fold, 'contract:a', 0, {**make_contract('a'), **changes})
    assert step.verdict.code is ResultCode.INVALID_CHANGE
    assert fault in step.verdict.message
    assert len(fold.state.contracts) == 0


@pytest.mark.parametrize(
    'changes, fault',
    [
        ({'tier': 5}, 'tier'),
        ({'tier': -1}, 'tier'),
        ({'minimum_share': 0.9}, 'add up to'),
        ({'first_token_target_ms': 70_000}, 'later than the timeout'),
        ({'weight': 0}, 'weight'),
        ({'name': 'audit'}, 'stands twice'),
        ({'idempotent': 'yes'}, 'idempotent'),
        ({'colour': 'red'}, 'classes.0.colour: unknown field'),
    ],
)
def test_class_that_breaks_a_rule_is_rejected(fold, amend, changes, fault):
    contract = make_contract('a')
    contract['classes'][0] = {**contract['classes'][0], **changes}
    step = amend(fold, 'contract:a', 0, contract)
    assert step.verdict.code is ResultCode.INVALID_CHANGE
    assert fault in step.verdict.message


def test_shares_are_rejected_exactly_above_the_size_of_the_pool(fold, amend):
    for number in range(9):
        amend(fold, f'contract:{number}', 0, make_contract(f'{number}', 0.1))
    beyond = amend(fold, 'contract:x', 0, make_contract('x', 0.100000001))
    assert beyond.verdict.code is ResultCode.INVALID_CHANGE
    assert amend(fold, 'contract:x', 0, make_contract('x', 0.1)).verdict.accepted


def test_token_of_another_organisation_is_rejected_until_it_is_free(fold, amend):
    amend(fold, 'contract:a', 0, make_contract('a'))
    conflicting_contract = {
        **make_contract('b'),
        'token_hashes': make_contract('a')['token_hashes'],
    }
    step = amend(fold, 'contract:b', 0, conflicting_contract)
    assert "belongs to 'a'" in step.verdict.message
    amend(fold, 'contract:a', 1, None)
    assert amend(fold, 'contract:b', 0, conflicting_contract).verdict.accepted
    assert fold.pool.owner_of(conflicting_contract['token_hashes'][0]) == 'b'


@pytest.mark.parametrize(
    'changes, fault',
    [
        ({'port': 0}, 'port'),
        ({'state': 'gone'}, 'state'),
        ({'service': 'register'}, 'either models or a service'),
        ({'concurrent_requests': 0}, 'concurrent_requests'),
        ({'host': 'a b'}, 'host'),
        ({'extra': 1}, 'extra: unknown field'),
    ],
)
def test_endpoint_that_breaks_a_rule_is_rejected(fold, amend, changes, fault):
    step = amend(fold, 'endpoint:e', 0, {**make_endpoint('e'), **changes})
    assert step.verdict.code is ResultCode.INVALID_CHANGE
    assert fault in step.verdict.message


def test_retired_endpoint_stays_retired_and_can_be_removed(fold, amend):
    amend(fold, 'endpoint:e', 0, make_endpoint('e'))
    assert not amend(fold, 'endpoint:e', 1, None).verdict.accepted
    amend(fold, 'endpoint:e', 1, make_endpoint('e', 'draining'))
    retired = amend(fold, 'endpoint:e', 3, make_endpoint('e', 'retired'))
    reactivation = amend(fold, 'endpoint:e', 4, make_endpoint('e', 'active'))
    assert 'stays retired' in reactivation.verdict.message
    removal = amend(fold, 'endpoint:e', retired.change.to_version, None)
    assert removal.change.document is None
    assert 'endpoint:e' not in fold.state.versions


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'\xff\xfe',
        b'{"kind":"amendment"}',
        b'{"kind":"other"}',
        b'[' * 100_000,
        b'{"kind":"snapshot","data":1}',
        b'"\\ud800"',
        b'null',
    ],
)
def test_unreadable_record_is_rejected_and_does_not_stop_the_fold(fold, amend, payload):
    """A foreign tool appends garbage to the configuration stream.

    If the fold raised an error, all instances would stop at the same offset
    permanently.
    """
    step = fold.apply(LogRecord(0, payload))
    assert step.verdict.code is ResultCode.INVALID_CHANGE
    assert amend(fold, 'endpoint:e', 0, make_endpoint('e')).verdict.accepted
    assert [each.offset for each in fold.verdicts.rejected()] == [0]


def test_gap_in_the_offsets_is_refused(fold):
    with pytest.raises(ValueError, match='does not follow'):
        fold.apply(LogRecord(1, b''))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*make_contract('a'), *make_endpoint('e'), 'z']),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(['contract:a', 'endpoint:e', 'x']), JSON)))
def test_arbitrary_documents_do_not_stop_the_fold(documents):
    fold = ConfigurationFold()
    for offset, (item, document) in enumerate(documents):
        record = {
            'kind': 'amendment',
            'record_id': f'r{offset}',
            'operator': 'asha',
            'instance': 'a',
            'item': item,
            'base_version': 0,
            'seen_offset': offset - 1,
            'document': document,
            'why': '',
            'at_ms': 0,
        }
        step = fold.apply(LogRecord(offset, msgspec.json.encode(record)))
        assert step.verdict is not None
    assert fold.state.offset == len(documents) - 1
