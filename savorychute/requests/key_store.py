"""The keys that this incarnation decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.ran import Ran
from savorychute.requests.key_may_run import KeyMayRun
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
    """Every key taken up here, until no request may run under it any more.

    A key has one runner.  Its verdict is final: after 'not run' nothing runs
    under it, so a caller that was told so can rely on it even if a copy of
    its request is still on the way.

    :param settings: bounds.
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

        :param sequence: the key's number.
        """
        return self._records.get(sequence)

    def find_runner(self, request_id: str) -> KeyRecord | None:
        """Return the unsettled record that *request_id* runs, or None.

        :param request_id: the request.
        """
        return self._runners.get(request_id)

    def take_up(
        self, request_id: str, key: RequestKey, fingerprint: str
    ) -> list[KeyOutcome]:
        """Let *request_id* run under a key that was never taken up.

        When the store is full the key stays as it was, so the caller may come
        again with it; 'not run' would be final and is not said.

        :param request_id: the request.
        :param key: the key.
        :param fingerprint: of the request.
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
        return [KeyMayRun(request_id)]

    def join(
        self, request_id: str, record: KeyRecord, fingerprint: str
    ) -> list[KeyOutcome]:
        """Answer a further request under a key, or let it wait.

        :param request_id: the further request.
        :param record: the key's record.
        :param fingerprint: of the further request.
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
            return [self._repeat(request_id, record)]
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
        """Give a key its verdict and answer the requests that wait for it.

        :param record: the key's record.
        :param phase: one of the final phases.
        :param code: why.
        :param now_ms: the time.
        :param outcome: the answer, if it ran to its end.
        """
        if record.is_final:
            return []
        record.phase = phase
        record.code = code
        record.settled_ms = now_ms
        if outcome is not None:
            self._outcomes.keep(record.key.sequence, outcome)
        self._runners.pop(record.runner, None)
        waiting = record.waiting
        record.waiting = ()
        return [self._repeat(request_id, record) for request_id in waiting]

    def leave(self, request_id: str) -> None:
        """Stop answering a request that waits for another one's outcome.

        :param request_id: a request whose caller left.
        """
        for record in self._runners.values():
            if request_id in record.waiting:
                kept = (other for other in record.waiting if other != request_id)
                record.waiting = tuple(kept)
                return

    def forget_old(self, issued_before_ms: int, now_ms: int) -> None:
        """Drop settled keys under which nothing can start any more.

        Keys are kept in the order in which they were taken up, which nearly
        is that of their issue; one that is out of order waits for the next
        call.

        :param issued_before_ms: keys issued earlier are refused by their age.
        :param now_ms: the time.
        """
        settled_before_ms = now_ms - self._settings.outcome_lifetime_ms
        old = []
        for sequence, record in self._records.items():
            if record.key.issued_ms >= issued_before_ms:
                break
            if record.is_final and record.settled_ms < settled_before_ms:
                old.append(sequence)
        for sequence in old:
            del self._records[sequence]
            self._outcomes.forget(sequence)

    def _repeat(self, request_id: str, record: KeyRecord) -> KeyOutcome:
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
