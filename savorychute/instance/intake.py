"""Check callers' requests and put them into the queue."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from savorychute.actions import RefuseRequest
from savorychute.errors import RequestError
from savorychute.instance.continuation_body import ContinuationBody
from savorychute.instance.directory import digest_organisation
from savorychute.instance.tracked_request import TrackedRequest
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import decode_handle
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.inputs import CallerRequest
    from savorychute.instance.dispatcher import Dispatcher
    from savorychute.instance.graceful_shutdown import GracefulShutdown
    from savorychute.instance.key_handler import KeyHandler
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.queue_handler import QueueHandler
    from savorychute.instance.responder import Responder

FINGERPRINT_BYTES = 12
#: Result codes below this one mean that the request itself is at fault.
FIRST_TRANSIENT_NUMBER = 2000
#: A request with one of these codes cannot have run under any contract.
NEVER_RUN_CODES = frozenset(
    (ResultCode.KEY_MALFORMED, ResultCode.KEY_REQUIRED, ResultCode.HANDLE_MALFORMED)
)


_CONTINUATION_DECODER = msgspec.json.Decoder(ContinuationBody)


class Intake:
    """The first steps of a request: authentication, checks, queueing.

    :param parts: the parts of the instance.
    :param responder: ends requests that are refused.
    :param dispatcher: starts queued requests.
    :param key_handler: decides whether the key of a request permits a run.
    :param queue_handler: puts requests into the queue.
    :param shutdown: whether new requests are refused, and where to send them.
    """

    def __init__(
        self,
        parts: InstanceParts,
        responder: Responder,
        dispatcher: Dispatcher,
        key_handler: KeyHandler,
        queue_handler: QueueHandler,
        shutdown: GracefulShutdown,
    ) -> None:
        self._parts = parts
        self._responder = responder
        self._dispatcher = dispatcher
        self._key_handler = key_handler
        self._queue_handler = queue_handler
        self._shutdown = shutdown

    def receive(self, request: CallerRequest, now_ms: int) -> list[Action]:
        """Check a request and put it into the queue, or refuse it.

        :param request: the complete request.
        """
        try:
            tracked = self._check(request, now_ms)
        except RequestError as error:
            return [self._refuse(request, error)]
        parts = self._parts
        parts.request_table.add(tracked)
        parts.retry_budget.record_request(tracked.limits.organisation, now_ms)
        parts.events.emit('request-received', request)
        if tracked.limits.idempotent:
            if self._shutdown.has_started:
                return self._refuse_for_shutdown(tracked, now_ms)
            return self.enqueue(tracked, now_ms)
        return self._key_handler.admit(tracked, now_ms)

    def enqueue(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Queue a request whose key, if it needs one, permits a run.

        Only the instance that issued a key decides it.  If that instance
        redirected the request while it shuts down, the others would redirect it
        back, and the caller would be redirected in a loop.  So the issuer settles
        the key as not run, which only it can do, and the caller gets a new key
        from another instance.
        """
        if self._shutdown.has_started:
            return self._refuse_for_shutdown(tracked, now_ms)
        actions = self._queue_handler.enqueue(tracked, now_ms)
        return actions + self._dispatcher.dispatch_pool(tracked.pool, now_ms)

    def _refuse_for_shutdown(
        self, tracked: TrackedRequest, now_ms: int
    ) -> list[Action]:
        code = ResultCode.SHUTTING_DOWN
        location = '' if tracked.holds_key else self._shutdown.find_other_instance()
        return self._responder.give_up(
            tracked, code, code.meaning, now_ms, location=location
        )

    def _check(self, request: CallerRequest, now_ms: int) -> TrackedRequest:
        parts = self._parts
        if not parts.configuration.ready:
            raise RequestError(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning)
        if self._shutdown.has_started and not request.key:
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
        fingerprint = self._make_fingerprint(limits.organisation, request)
        tracked = TrackedRequest(request, class_limits, fingerprint, now_ms)
        self._parts.quarantine.register(
            fingerprint, tracked.pool, request.prefix_hashes
        )
        if request.handle:
            self._apply_handle(tracked, limits.organisation)
        return tracked

    def _check_target(self, request: CallerRequest, limits: OrganisationLimits) -> None:
        if self._parts.directory.can_use(
            limits.organisation, request.model, request.service
        ):
            return
        target = request.model or request.service
        raise RequestError(
            ResultCode.UNKNOWN_MODEL,
            f'the contract of {limits.organisation} does not name {target!r}',
        )

    def _apply_handle(self, tracked: TrackedRequest, organisation: str) -> None:
        """Apply the continuation handle, which names the stream to resume.

        Stream ids start with a digest of the organisation that owns the stream.
        A handle with a stream of another organisation is refused, so a forged
        handle can't read the response of another organisation.
        """
        handle = decode_handle(tracked.request.handle)
        organisation_digest = digest_organisation(organisation)
        if not tracked.resumable or not handle.stream_id.startswith(
            f'{organisation_digest}.'
        ):
            code = ResultCode.HANDLE_MALFORMED
            raise RequestError(code, 'the handle names no stream of this organisation')
        tracked.resume_handle = handle
        tracked.is_interrupted = True
        tracked.delivered_tokens = handle.offset
        self._apply_known_text(tracked, handle.offset)

    def _apply_known_text(self, tracked: TrackedRequest, offset: int) -> None:
        """Store the text that the caller has received, if it sent it.

        An engine can continue a response only from its whole text so far.  This
        instance passes on only the rest of a resumed stream, so without the
        caller's text a lost stream has to be generated again from the start.
        """
        tracked.has_whole_text = offset == 0
        try:
            document = _CONTINUATION_DECODER.decode(tracked.request.body)
        except msgspec.MsgspecError:
            return
        continuation = document.get('continue_from')
        if continuation is not None and continuation['offset'] == offset:
            tracked.has_whole_text = True
            tracked.delivered_text += continuation['text'].encode()

    def _make_fingerprint(self, organisation: str, request: CallerRequest) -> str:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        digest.update(organisation.encode())
        digest.update(request.method.encode())
        digest.update(request.path.encode())
        digest.update(_remove_continuation(request.body))
        return digest.hexdigest()

    def _refuse(self, request: CallerRequest, error: RequestError) -> Action:
        """Refuse a request that was not added to the request table."""
        location = ''
        if error.code in (ResultCode.SHUTTING_DOWN, ResultCode.NOT_READY):
            location = self._shutdown.find_other_instance()
        return RefuseRequest(
            request_id=request.request_id,
            code=error.code,
            ran=self._report_ran(request, error.code),
            message=error.message,
            retry_after_ms=self._find_retry_after_ms(error.code),
            location=location,
        )

    def _find_retry_after_ms(self, code: ResultCode) -> int:
        """Return the delay after which the same request may succeed, or 0 if never."""
        is_transient = code.number >= FIRST_TRANSIENT_NUMBER
        return self._parts.settings.refusal_retry_ms if is_transient else 0

    def _report_ran(self, request: CallerRequest, code: ResultCode) -> Ran:
        """Return whether a refused request may have run.

        With a key or a handle an earlier attempt may have run, even if the
        contract was amended since then and no longer permits the request.  The
        exception is a request that could not have run under any contract.
        """
        if code in NEVER_RUN_CODES or not (request.handle or request.key):
            return Ran.NOT_RUN
        return Ran.UNKNOWN


def _remove_continuation(body: bytes) -> bytes:
    """Return a body without the text that the caller has received.

    A caller that retries sends the text that it has.  If the text were part of
    the fingerprint, a request that crashes endpoints would get a new one with
    each retry and would never be quarantined.
    """
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return body
    if not isinstance(document, dict):
        return body
    document.pop('continue_from', None)
    return msgspec.json.encode(document)
