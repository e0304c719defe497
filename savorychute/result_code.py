"""Numbered result codes for callers and operators."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus


class ResultCode(Enum):
    """A numbered result: number, HTTP status and meaning.

    Numbers are never reused.  1xxx: invalid requests, 2xxx: refused work, 3xxx:
    outcomes of work, 4xxx: configuration, 5xxx: settings and command line, 6xxx:
    messages between instances.
    """

    OK = (0, HTTPStatus.OK, 'answered')

    MALFORMED_HTTP = (1001, HTTPStatus.BAD_REQUEST, 'the request is not valid HTTP/1.1')
    BAD_JSON = (1002, HTTPStatus.BAD_REQUEST, 'the body is not valid JSON')
    BAD_FIELD = (
        1003,
        HTTPStatus.BAD_REQUEST,
        'a field is missing or has a wrong value',
    )
    UNAUTHENTICATED = (1004, HTTPStatus.UNAUTHORIZED, 'the token belongs to nobody')
    FORBIDDEN = (1005, HTTPStatus.FORBIDDEN, 'the token does not permit this')
    UNKNOWN_CLASS = (1006, HTTPStatus.BAD_REQUEST, 'the contract has no such class')
    UNKNOWN_MODEL = (
        1007,
        HTTPStatus.NOT_FOUND,
        'no such model or service for this organisation',
    )
    NOT_FOUND = (1008, HTTPStatus.NOT_FOUND, 'there is no such resource')
    HEADERS_TOO_LARGE = (
        1009,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'the header section is too large',
    )
    BODY_TOO_LARGE = (
        1010,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'the body is too large',
    )
    SLOW_CALLER = (1011, HTTPStatus.REQUEST_TIMEOUT, 'the request arrived too slowly')
    METHOD_NOT_ALLOWED = (
        1012,
        HTTPStatus.METHOD_NOT_ALLOWED,
        'the method is not allowed here',
    )
    KEY_MALFORMED = (1013, HTTPStatus.BAD_REQUEST, 'the request key cannot be read')
    KEY_REQUIRED = (
        1014,
        HTTPStatus.BAD_REQUEST,
        'a non-idempotent class needs a request key',
    )
    KEY_TOO_OLD = (1015, HTTPStatus.GONE, 'the request key is older than its records')
    HANDLE_MALFORMED = (
        1016,
        HTTPStatus.BAD_REQUEST,
        'the continuation handle cannot be read',
    )
    KEY_REUSED = (
        1017,
        HTTPStatus.CONFLICT,
        'the request key belongs to a different request',
    )

    OVERLOADED = (
        2001,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'shed: the target cannot be met now',
    )
    QUEUE_FULL = (2002, HTTPStatus.SERVICE_UNAVAILABLE, 'the queue is at its bound')
    RATE_LIMITED = (
        2003,
        HTTPStatus.TOO_MANY_REQUESTS,
        'the contract permits no more now',
    )
    NO_ENDPOINT = (2004, HTTPStatus.SERVICE_UNAVAILABLE, 'no endpoint serves this now')
    DEADLINE_PASSED = (
        2005,
        HTTPStatus.GATEWAY_TIMEOUT,
        'the deadline passed before a start',
    )
    QUARANTINED = (
        2006,
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'this request crashes endpoints',
    )
    NOT_READY = (
        2007,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the instance has no configuration yet',
    )
    SHUTTING_DOWN = (2008, HTTPStatus.SERVICE_UNAVAILABLE, 'the instance is leaving')
    CONNECTIONS_EXHAUSTED = (
        2009,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'too many connections',
    )
    LOG_UNAVAILABLE = (
        2010,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the platform log does not answer',
    )
    WITNESS_UNAVAILABLE = (
        2011,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no witness acknowledged',
    )
    KEY_REVOKED = (2012, HTTPStatus.CONFLICT, 'the key was revoked before it ran')
    WRONG_INSTANCE = (
        2013,
        HTTPStatus.TEMPORARY_REDIRECT,
        'another instance decides this key',
    )
    MEMORY_EXHAUSTED = (
        2014,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'buffers are at their bound',
    )
    CRASH_SUSPECT = (
        2015,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'endpoints have crashed on requests like this one',
    )
    STREAM_ORIGIN_UNKNOWN = (
        2016,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no instance knows at which version this stream began',
    )
    STREAM_VERSION_GONE = (
        2017,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no endpoint of the version that began this stream is left',
    )

    ENDPOINT_FAILED = (3001, HTTPStatus.BAD_GATEWAY, 'the endpoint failed the request')
    OUTCOME_UNKNOWN = (
        3002,
        HTTPStatus.BAD_GATEWAY,
        'may have run; will not be run again',
    )
    ANSWER_TRUNCATED = (3003, HTTPStatus.BAD_GATEWAY, 'the answer broke off')
    RETRIES_EXHAUSTED = (
        3004,
        HTTPStatus.BAD_GATEWAY,
        'no attempt succeeded within the budget',
    )
    CALLER_LEFT = (3005, HTTPStatus.REQUEST_TIMEOUT, 'the caller left before the end')
    ANSWER_TIMEOUT = (
        3006,
        HTTPStatus.GATEWAY_TIMEOUT,
        'the answer passed the deadline',
    )
    OUTCOME_FORGOTTEN = (
        3007,
        HTTPStatus.GONE,
        'the key ran; its outcome is no longer kept',
    )

    VERSION_CONFLICT = (
        4001,
        HTTPStatus.CONFLICT,
        'the base version is not the current one',
    )
    INVALID_CHANGE = (4002, HTTPStatus.UNPROCESSABLE_ENTITY, 'the change breaks a rule')
    CHANGE_UNCONFIRMED = (
        4003,
        HTTPStatus.ACCEPTED,
        'the change may be in the log; ask by its record id',
    )
    LEASE_NOT_HELD = (
        4004,
        HTTPStatus.CONFLICT,
        'the lease is held by another instance',
    )
    FENCED = (4005, HTTPStatus.CONFLICT, 'the fencing number is old')

    BAD_SETTINGS = (
        5001,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'the settings file has faults',
    )
    UNKNOWN_VARIANT = (5002, HTTPStatus.INTERNAL_SERVER_ERROR, 'no such variant')
    BAD_SCENARIO = (5003, HTTPStatus.INTERNAL_SERVER_ERROR, 'the scenario has faults')
    EXPECTATION_FAILED = (
        5004,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'a scenario expectation did not hold',
    )

    BAD_MESSAGE = (
        6001,
        HTTPStatus.BAD_REQUEST,
        'an instance message cannot be decoded',
    )
    BAD_SIGNATURE = (6002, HTTPStatus.FORBIDDEN, 'an instance message is not authentic')

    def __init__(self, number: int, status: HTTPStatus, meaning: str) -> None:
        self.number = number
        self.status = status
        self.meaning = meaning
