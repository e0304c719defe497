"""Carry out commands of operators."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import msgspec

import savorychute.instance.operator_commands  # noqa: F401 (fills the registry)
from savorychute.actions import OperatorReply
from savorychute.errors import SavorychuteError, UnknownVariantError
from savorychute.instance.directory import hash_token
from savorychute.instance.operator_call import OperatorCall
from savorychute.instance.operator_verbs import OPERATOR_VERBS
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs import OperatorCommand
    from savorychute.instance.explanations import Explanations
    from savorychute.instance.parts import InstanceParts


class OperatorCommandHandler:
    """Authenticates operators and dispatches their commands.

    :param parts: the parts of the instance.
    :param explanations: the histories of requests that have ended.
    """

    def __init__(self, parts: InstanceParts, explanations: Explanations) -> None:
        self._parts = parts
        self._explanations = explanations

    def receive(self, command: OperatorCommand, now_ms: int) -> list[Action]:
        """Carry out a command, or reply with an error."""
        operator = self._find_operator(command.token)
        if operator is None:
            return [self._refuse(command, ResultCode.UNAUTHENTICATED, '')]
        try:
            call = self._make_call(command, operator, now_ms)
            return OPERATOR_VERBS.get(command.verb)(call)
        except UnknownVariantError as error:
            return [self._refuse(command, ResultCode.NOT_FOUND, error.message)]
        except SavorychuteError as error:
            return [self._refuse(command, error.code, error.message)]
        except msgspec.DecodeError as error:
            return [self._refuse(command, ResultCode.BAD_JSON, str(error))]

    def _make_call(
        self, command: OperatorCommand, operator: str, now_ms: int
    ) -> OperatorCall:
        arguments = msgspec.json.decode(command.arguments or b'{}', type=dict)
        return OperatorCall(
            parts=self._parts,
            explanations=self._explanations,
            command_id=command.command_id,
            operator=operator,
            arguments=arguments,
            now_ms=now_ms,
        )

    def _find_operator(self, token: str) -> str | None:
        """Return the operator that owns the token, or ``None``.

        Every known hash is compared: stopping at the first match would reveal
        through the time taken how many operators come before it.
        """
        token_hash = hash_token(token)
        matching_operator = None
        for operator, known_hash in self._parts.settings.operator_token_hashes.items():
            if hmac.compare_digest(token_hash, known_hash):
                matching_operator = operator
        return matching_operator

    def _refuse(
        self, command: OperatorCommand, code: ResultCode, message: str
    ) -> OperatorReply:
        error = {
            'code': code.number,
            'name': code.name,
            'message': message or code.meaning,
        }
        document = msgspec.json.encode({'error': error})
        return OperatorReply(command.command_id, document, code)
