"""A single instance that a test drives step by step."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, TypeVar

from savorychute.actions import AppendRecord, FetchListing, ReadRecords
from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.record_codec import encode_record
from savorychute.inputs import (
    AppendFinished,
    CallerRequest,
    ListingFetched,
    RecordsRead,
)
from savorychute.inputs.log_record import LogRecord
from savorychute.instance import Instance, InstanceSettings
from savorychute.instance.directory import hash_token
from savorychute.member_address import MemberAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.actions import Action
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs import Input

ActionT = TypeVar('ActionT')

TICK_MS = 100
ORGANISATION = 'acme'
TOKEN = 'token-acme'
OTHER_ORGANISATION = 'zeta'
OTHER_TOKEN = 'token-zeta'
OPERATOR_TOKEN = 'token-operator'
ADDRESS = MemberAddress('entry-1', 1, 'north', 'hall-1', '10.0.0.1', 8080, 8081)


def make_contract(
    organisation: str = ORGANISATION, token: str = TOKEN, pool_share: float = 0.5
) -> ContractDocument:
    """Return a contract with an urgent, a patient and a non-idempotent class."""
    return {
        'organisation': organisation,
        'token_hashes': [hash_token(token)],
        'pool_share': pool_share,
        'requests_per_s': 100.0,
        'concurrent_requests': 50,
        'tokens_per_s': 50_000.0,
        'models': ['small'],
        'services': ['desk'],
        'classes': [
            {
                'name': 'urgent',
                'tier': 0,
                'first_token_target_ms': 500,
                'token_gap_target_ms': 50,
                'timeout_ms': 10_000,
                'weight': 3.0,
                'idempotent': True,
            },
            {
                'name': 'booking',
                'tier': 1,
                'first_token_target_ms': 500,
                'token_gap_target_ms': 50,
                'timeout_ms': 5_000,
                'weight': 2.0,
                'idempotent': False,
            },
            {
                'name': 'audit',
                'tier': 4,
                'first_token_target_ms': 30_000,
                'token_gap_target_ms': 500,
                'timeout_ms': 60_000,
                'weight': 1.0,
                'idempotent': True,
                'patient': True,
                'minimum_share': 0.1,
            },
        ],
    }


def make_engine(name: str, state: str = 'active', slots: int = 4) -> EndpointDocument:
    """Return the document of a model engine."""
    return {
        'endpoint': name,
        'dialect': 'openai-engine',
        'host': '10.0.1.1',
        'port': 7000,
        'region': 'north',
        'failure_domain': 'hall-1',
        'state': state,
        'concurrent_requests': slots,
        'models': ['small'],
    }


def make_request(request_id: str, class_name: str = 'urgent') -> CallerRequest:
    """Return a streamed chat request."""
    return CallerRequest(
        request_id=request_id,
        token=TOKEN,
        class_name=class_name,
        model='small',
        service='',
        method='POST',
        path='/v1/chat/completions',
        body=b'{"model":"small","messages":[{"role":"user","content":"hi"}]}',
        stream=True,
        prompt_tokens=8,
        max_tokens=32,
    )


class Solo:
    """An instance with its own log and listing; all other actions are collected.

    :param contracts: contracts that are in the log at the start.
    :param endpoints: endpoints that are in the log at the start.
    :param settings: the settings of the instance.
    """

    def __init__(
        self,
        contracts: Iterable[ContractDocument] = (),
        endpoints: Iterable[EndpointDocument] = (),
        settings: InstanceSettings | None = None,
    ) -> None:
        hashes = {'operator': hash_token(OPERATOR_TOKEN)}
        settings = (settings or InstanceSettings())._replace(
            operator_token_hashes=hashes
        )
        self.instance = Instance(settings, ADDRESS, random.Random(1))
        self.now_ms = 0
        self.actions: list[Action] = []
        self._streams: dict[str, list[bytes]] = {}
        for contract in contracts:
            self.append_document(f'contract:{contract["organisation"]}', dict(contract))
        for endpoint in endpoints:
            self.append_document(f'endpoint:{endpoint["endpoint"]}', dict(endpoint))

    def append_document(
        self, item: str, document: dict[str, object], base_version: int = 0
    ) -> None:
        """Append an amendment to the log, as another instance would."""
        records = self._streams.setdefault('configuration', [])
        record: AmendmentRecord = {
            'kind': AMENDMENT_KIND,
            'record_id': f'record-{len(records)}',
            'operator': 'operator',
            'instance': 'elsewhere',
            'item': item,
            'base_version': base_version,
            'seen_offset': len(records) - 1,
            'document': document,
            'why': 'test',
            'at_ms': 0,
        }
        records.append(encode_record(record))

    def deliver(self, message: Input) -> list[Action]:
        """Deliver an input and return the actions that the platform does not handle."""
        return self._execute_actions(self.instance.deliver(message, self.now_ms))

    def run_for(self, duration_ms: int) -> list[Action]:
        """Advance the time and return the actions that the platform does not handle."""
        end_ms = self.now_ms + duration_ms
        actions: list[Action] = []
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            actions += self._execute_actions(self.instance.tick(self.now_ms))
        return actions

    def find(self, kind: type[ActionT]) -> list[ActionT]:
        """Return all collected actions of a kind."""
        return [action for action in self.actions if isinstance(action, kind)]

    def _execute_actions(self, actions: Iterable[Action]) -> list[Action]:
        remaining: list[Action] = []
        for action in actions:
            platform_result = self._execute_platform_action(action)
            if platform_result is None:
                self.actions.append(action)
                remaining.append(action)
            else:
                remaining += self.deliver(platform_result)
        return remaining

    def _execute_platform_action(self, action: Action) -> Input | None:
        """Return the result of the platform, or None for any other action."""
        if isinstance(action, FetchListing):
            return ListingFetched(ok=True, live=(ADDRESS,))
        if isinstance(action, ReadRecords):
            return self._read(action)
        if isinstance(action, AppendRecord):
            records = self._streams.setdefault(action.stream, [])
            records.append(action.payload)
            offset = len(records) - 1
            return AppendFinished(action.append_id, action.stream, 'appended', offset)
        return None

    def _read(self, read: ReadRecords) -> RecordsRead:
        records = self._streams.get(read.stream, [])
        start = max(0, read.from_offset)
        payloads = records[start : start + read.max_records]
        return RecordsRead(
            stream=read.stream,
            ok=True,
            records=tuple(
                LogRecord(start + position, payload)
                for position, payload in enumerate(payloads)
            ),
            first_offset=0,
            end_offset=len(records),
        )
