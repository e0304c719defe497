"""Take in callers' requests: who asks, what for, and may it wait here."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from savorychute.actions import RefuseRequest
from savorychute.errors import RequestError
from savorychute.instance.continued_document import ContinuedDocument
from savorychute.instance.directory import digest_organisation
from savorychute.instance.tracked_request import TrackedRequest
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import decode_handle
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.inputs import CallerRequest
    from savorychute.instance.departure import Departure
    from savorychute.instance.dispatcher import Dispatcher
    from savorychute.instance.key_desk import KeyDesk
    from savorychute.instance.parts import Parts
    from savorychute.instance.queue_desk import QueueDesk
    from savorychute.instance.responder import Responder

FINGERPRINT_BYTES = 12
#: Result codes below this one say that the request itself is at fault.
FIRST_REFUSAL_NUMBER = 2000
#: With these a request cannot have run, whatever the contract was.
HOPELESS_CODES = frozenset(
    (ResultCode.KEY_MALFORMED, ResultCode.KEY_REQUIRED, ResultCode.HANDLE_MALFORMED)
)


_CONTINUED = msgspec.json.Decoder(ContinuedDocument)


class Intake:
    """The first steps of a request's life.

    :param parts: the parts of the instance.
    """

    def __init__(
        self,
        parts: Parts,
        responder: Responder,
        dispatcher: Dispatcher,
        key_desk: KeyDesk,
        queue_desk: QueueDesk,
        departure: Departure,
    ) -> None:
        self._parts = parts
        self._responder = responder
        self._dispatcher = dispatcher
        self._key_desk = key_desk
        self._queue_desk = queue_desk
        self._departure = departure

    def receive(self, request: CallerRequest, now_ms: int) -> list[Action]:
        """Check a request and put it into the queue, or refuse it.

        :param request: read completely.
        """
        try:
            tracked = self._check(request, now_ms)
        except RequestError as error:
            return [self._refuse(request, error)]
        parts = self._parts
        parts.table.add(tracked)
        parts.budget.record_request(tracked.limits.organisation, now_ms)
        parts.events.emit('request-received', request)
        if tracked.limits.idempotent:
            if self._departure.has_begun:
                return self._turn_away(tracked, now_ms)
            return self.enqueue(tracked, now_ms)
        return self._key_desk.admit(tracked, now_ms)

    def enqueue(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Queue a request whose key, if it needs one, permits a run.

        Only the issuer decides its keys.  If it sent their requests elsewhere
        while it leaves, the others would send them back here, and the caller
        would be redirected in a circle.  So it settles them as not run, which
        it alone can say, and the caller gets a new key elsewhere.
        """
        if self._departure.has_begun:
            return self._turn_away(tracked, now_ms)
        actions = self._queue_desk.put(tracked, now_ms)
        return actions + self._dispatcher.pump(tracked.pool, now_ms)

    def _turn_away(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        code = ResultCode.SHUTTING_DOWN
        location = '' if tracked.holds_key else self._departure.find_other_instance()
        return self._responder.give_up(
            tracked, code, code.meaning, now_ms, location=location
        )

    def _check(self, request: CallerRequest, now_ms: int) -> TrackedRequest:
        parts = self._parts
        if not parts.configuration.ready:
            raise RequestError(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning)
        if self._departure.has_begun and not request.key:
            code = ResultCode.SHUTTING_DOWN
            raise RequestError(code, code.meaning)
        limits = parts.directory.find_organisation(request.token)
        if limits is None:
            code = ResultCode.UNAUTHENTICATED
            raise RequestError(code, code.meaning)
        class_limits = limits.classes.get(request.class_name)
        if class_limits is None:
            raise RequestError(
                ResultCode.UNKNOWN_CLASS,
                f'the contract of {limits.organisation} has no class'
                f' {request.class_name!r}',
            )
        self._check_target(request, limits)
        if not class_limits.idempotent and not request.key:
            code = ResultCode.KEY_REQUIRED
            raise RequestError(code, f'class {request.class_name!r}: {code.meaning}')
        fingerprint = self._take_fingerprint(limits.organisation, request)
        tracked = TrackedRequest(request, class_limits, fingerprint, now_ms)
        if request.handle:
            self._take_handle(tracked, limits.organisation)
        return tracked

    def _check_target(self, request: CallerRequest, limits: OrganisationLimits) -> None:
        if self._parts.directory.may_use(
            limits.organisation, request.model, request.service
        ):
            return
        target = request.model or request.service
        raise RequestError(
            ResultCode.UNKNOWN_MODEL,
            f'the contract of {limits.organisation} does not name {target!r}',
        )

    def _take_handle(self, tracked: TrackedRequest, organisation: str) -> None:
        """Note which stream the caller wants to go on with.

        Stream ids begin with a digest of the organisation they belong to.  A
        handle with another organisation's stream is refused here, so a forged
        handle reads nobody else's answer.
        """
        handle = decode_handle(tracked.request.handle)
        owner = digest_organisation(organisation)
        if not tracked.resumable or not handle.stream_id.startswith(f'{owner}.'):
            code = ResultCode.HANDLE_MALFORMED
            raise RequestError(code, 'the handle names no stream of this organisation')
        tracked.resume_at = handle
        tracked.delivered_tokens = handle.offset
        self._take_text(tracked, handle.offset)

    def _take_text(self, tracked: TrackedRequest, offset: int) -> None:
        """Note the text that the caller has, if it sent it.

        An engine can go on from the text of the answer's beginning only if it
        is all of it.  What this instance passes on later is only the end, so
        without the caller's text a stream that is gone has to be made anew.
        """
        tracked.knows_text = offset == 0
        try:
            document = _CONTINUED.decode(tracked.request.body)
        except msgspec.MsgspecError:
            return
        going_on = document.get('continue_from')
        if going_on is not None and going_on['offset'] == offset:
            tracked.knows_text = True
            tracked.delivered_text += going_on['text'].encode()

    def _take_fingerprint(self, organisation: str, request: CallerRequest) -> str:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        digest.update(organisation.encode())
        digest.update(request.method.encode())
        digest.update(request.path.encode())
        digest.update(_drop_continuation(request.body))
        return digest.hexdigest()

    def _refuse(self, request: CallerRequest, error: RequestError) -> Action:
        """Refuse a request that never became one of ours."""
        location = ''
        if error.code in (ResultCode.SHUTTING_DOWN, ResultCode.NOT_READY):
            location = self._departure.find_other_instance()
        return RefuseRequest(
            request_id=request.request_id,
            code=error.code,
            ran=self._tell_ran(request, error.code),
            message=error.message,
            retry_after_ms=self._find_retry_ms(error.code),
            location=location,
        )

    def _find_retry_ms(self, code: ResultCode) -> int:
        """Return when the same request may succeed, or 0 if it never will."""
        is_passing = code.number >= FIRST_REFUSAL_NUMBER
        return self._parts.settings.refusal_retry_ms if is_passing else 0

    def _tell_ran(self, request: CallerRequest, code: ResultCode) -> Ran:
        """Return what may be said of a request that was not looked into.

        With a key or a handle an earlier try may have run, even if the
        contract has been amended since and now refuses the request, unless
        the request could have run under no contract.
        """
        if code in HOPELESS_CODES or not (request.handle or request.key):
            return Ran.NOT_RUN
        return Ran.UNKNOWN


def _drop_continuation(body: bytes) -> bytes:
    """Return a body as it was before its answer had begun.

    A caller that tries again sends the text that it has.  If that counted, a
    request that crashes endpoints would be another one at each try, and would
    never be quarantined.
    """
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return body
    if not isinstance(document, dict):
        return body
    document.pop('continue_from', None)
    return msgspec.json.encode(document)
