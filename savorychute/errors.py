"""Exceptions, each with a numbered result code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence


class SavorychuteError(Exception):
    """Base class of all exceptions of this package.

    :param message: lower-case text that names the value and its location.
    """

    code = ResultCode.BAD_FIELD

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class UnknownVariantError(SavorychuteError):
    """A registry has no variant with that name."""

    code = ResultCode.UNKNOWN_VARIANT

    def __init__(self, kind: str, name: str, known: Sequence[str]) -> None:
        super().__init__(f'no {kind} called {name!r}; known: {", ".join(known)}')


class SettingsError(SavorychuteError):
    """A settings file has faults; all of them are listed.

    :param faults: one line each, with file, line, value and expectation.
    """

    code = ResultCode.BAD_SETTINGS

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__('\n'.join(faults))
        self.faults = tuple(faults)


class InvalidChangeError(SavorychuteError):
    """A configuration change violates a rule."""

    code = ResultCode.INVALID_CHANGE


class MessageError(SavorychuteError):
    """Bytes from another instance cannot be decoded."""

    code = ResultCode.BAD_MESSAGE


class SignatureError(SavorychuteError):
    """Bytes from another instance are not authentic."""

    code = ResultCode.BAD_SIGNATURE


class RequestError(SavorychuteError):
    """A caller's request is invalid or refused.

    :param code: the result code.
    :param message: a description that names the value and its location.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class ScenarioError(SavorychuteError):
    """A scenario file has faults."""

    code = ResultCode.BAD_SCENARIO


class IllegalTransitionError(SavorychuteError):
    """A state machine was asked for a transition that it does not allow.

    :param request_id: the request whose state machine it is.
    :param before: the current state.
    :param after: the requested state.
    """

    def __init__(self, request_id: str, before: str, after: str) -> None:
        super().__init__(f'request {request_id}: no transition {before} to {after}')
