"""Exceptions, each with a numbered result code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence


class SavorychuteError(Exception):
    """Base of all exceptions of this package.

    :param message: lower-case text that names the value and the place.
    """

    code = ResultCode.BAD_FIELD

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class UnknownVariantError(SavorychuteError):
    """A registry has no variant of that name."""

    code = ResultCode.UNKNOWN_VARIANT

    def __init__(self, kind: str, name: str, known: Sequence[str]) -> None:
        super().__init__(f'no {kind} called {name!r}; known: {", ".join(known)}')


class SettingsError(SavorychuteError):
    """A settings file has faults, all of them listed.

    :param faults: one line each, with file, line, value and expectation.
    """

    code = ResultCode.BAD_SETTINGS

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__('\n'.join(faults))
        self.faults = tuple(faults)


class InvalidChangeError(SavorychuteError):
    """A configuration change breaks a rule."""

    code = ResultCode.INVALID_CHANGE


class MessageError(SavorychuteError):
    """Bytes from another instance cannot be decoded."""

    code = ResultCode.BAD_MESSAGE


class SignatureError(SavorychuteError):
    """Bytes from another instance are not authentic."""

    code = ResultCode.BAD_SIGNATURE


class RequestError(SavorychuteError):
    """A caller's request is at fault.

    :param code: the numbered reason.
    :param message: what is wrong, naming value and place.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class ScenarioError(SavorychuteError):
    """A scenario file has faults."""

    code = ResultCode.BAD_SCENARIO


class IllegalTransitionError(SavorychuteError):
    """A state machine was told to make a transition that it does not have.

    :param request_id: whose life it is.
    :param before: the present state.
    :param after: the state asked for.
    """

    def __init__(self, request_id: str, before: str, after: str) -> None:
        super().__init__(f'request {request_id}: no transition {before} to {after}')
