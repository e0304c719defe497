"""Records of the keys that this incarnation decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.ran import Ran
from savorychute.requests.key_granted import KeyGranted
from savorychute.requests.key_phase import KeyPhase
from savorychute.requests.key_record import KeyRecord
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_replay import KeyReplay
from savorychute.requests.outcome_store import OutcomeStore
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.requests.key_outcome import KeyOutcome
    from savorychute.requests.key_settings import KeySettings
    from savorychute.requests.request_key import RequestKey
    from savorychute.requests.stored_outcome import StoredOutcome


class KeyStore:
    """Stores each granted key until no request can run under it any more.

    A key has one runner.  Its settled phase is final: after ``NOT_RUN`` nothing
    runs under the key, so a caller can rely on this outcome even if a duplicate
    of its request is still in flight.

    :param settings: limits.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._outcomes = OutcomeStore(settings)
        self._records: dict[int, KeyRecord] = {}
        self._runners: dict[str, KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, sequence: int) -> KeyRecord | None:
        """Return the record of a key, or None.

        :param sequence: the sequence number of the key.
        """
        return self._records.get(sequence)

    def find_runner(self, request_id: str) -> KeyRecord | None:
        """Return the unsettled record whose runner is *request_id*, or None.

        :param request_id: the id of the request.
        """
        return self._runners.get(request_id)

    def grant(
        self, request_id: str, key: RequestKey, fingerprint: str
    ) -> list[KeyOutcome]:
        """Grant a key that was not granted before to *request_id*.

        If the store is full, the key is refused as ``UNKNOWN`` and the caller may
        retry with it; ``NOT_RUN`` would be final.

        :param request_id: the id of the request.
        :param key: the key.
        :param fingerprint: the fingerprint of the request.
        """
        if len(self._records) >= self._settings.max_keys:
            return [
                KeyRefused(
                    request_id,
                    ResultCode.MEMORY_EXHAUSTED,
                    Ran.UNKNOWN,
                    'no room for another key; send again with the same key',
                )
            ]
        record = KeyRecord(key, fingerprint, request_id)
        self._records[key.sequence] = record
        self._runners[request_id] = record
        return [KeyGranted(request_id)]

    def join(
        self, request_id: str, record: KeyRecord, fingerprint: str
    ) -> list[KeyOutcome]:
        """Return the outcome of a further request under a key, or let it wait.

        :param request_id: the id of the further request.
        :param record: the record of the key.
        :param fingerprint: the fingerprint of the further request.
        """
        if record.fingerprint != fingerprint:
            return [
                KeyRefused(
                    request_id,
                    ResultCode.KEY_REUSED,
                    Ran.NOT_RUN,
                    f'key {record.key.text} stands for another request',
                )
            ]
        if record.is_final:
            return [self._make_outcome(request_id, record)]
        if len(record.waiting) >= self._settings.max_waiting_per_key:
            return [
                KeyRefused(
                    request_id,
                    ResultCode.OUTCOME_UNKNOWN,
                    Ran.UNKNOWN,
                    f'key {record.key.text} is in progress; ask again later',
                )
            ]
        record.waiting = (*record.waiting, request_id)
        return []

    def settle(
        self,
        record: KeyRecord,
        phase: KeyPhase,
        code: ResultCode,
        now_ms: int,
        outcome: StoredOutcome | None = None,
    ) -> list[KeyOutcome]:
        """Settle a key and return the outcomes of the requests that wait for it.

        :param record: the record of the key.
        :param phase: one of the final phases.
        :param code: the result code of the waiting requests.
        :param now_ms: the current time.
        :param outcome: the response, if the request completed.
        """
        if record.is_final:
            return []
        record.phase = phase
        record.code = code
        record.settled_ms = now_ms
        if outcome is not None:
            self._outcomes.store(record.key.sequence, outcome)
        self._runners.pop(record.runner, None)
        waiting = record.waiting
        record.waiting = ()
        return [self._make_outcome(request_id, record) for request_id in waiting]

    def remove_waiter(self, request_id: str) -> None:
        """Remove a request that waits for the outcome of the runner.

        :param request_id: a request whose caller has disconnected.
        """
        for record in self._runners.values():
            if request_id in record.waiting:
                remaining = (other for other in record.waiting if other != request_id)
                record.waiting = tuple(remaining)
                return

    def remove_expired(self, issued_before_ms: int, now_ms: int) -> None:
        """Remove settled keys under which nothing can start any more.

        Keys are stored in the order in which they were granted, which is nearly
        the order of their issue; a key that is out of order is removed by a later
        call.

        :param issued_before_ms: keys issued earlier are refused because of their age.
        :param now_ms: the current time.
        """
        settled_before_ms = now_ms - self._settings.outcome_lifetime_ms
        expired = []
        for sequence, record in self._records.items():
            if record.key.issued_ms >= issued_before_ms:
                break
            if record.is_final and record.settled_ms < settled_before_ms:
                expired.append(sequence)
        for sequence in expired:
            del self._records[sequence]
            self._outcomes.discard(sequence)

    def _make_outcome(self, request_id: str, record: KeyRecord) -> KeyOutcome:
        outcome = self._outcomes.find(record.key.sequence)
        if outcome is not None:
            return KeyReplay(
                request_id, outcome.status, outcome.body, outcome.content_type
            )
        if record.phase is KeyPhase.RAN:
            return KeyRefused(
                request_id,
                ResultCode.OUTCOME_FORGOTTEN,
                Ran.RAN,
                f'key {record.key.text} ran; its answer is no longer kept',
            )
        code = record.code or ResultCode.OUTCOME_UNKNOWN
        ran = Ran.NOT_RUN if record.phase is KeyPhase.NOT_RUN else Ran.UNKNOWN
        return KeyRefused(
            request_id, code, ran, f'key {record.key.text} was settled before'
        )
