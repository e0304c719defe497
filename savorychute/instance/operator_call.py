"""One operator command while an instance handles it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from savorychute.actions import OperatorReply
from savorychute.errors import RequestError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.instance.explanations import Explanations
    from savorychute.instance.parts import InstanceParts


class OperatorCall(NamedTuple):
    """An authenticated command with decoded arguments."""

    parts: InstanceParts
    explanations: Explanations
    command_id: str
    operator: str
    arguments: dict[str, Any]
    now_ms: int

    def reply(
        self, document: object, code: ResultCode = ResultCode.OK
    ) -> OperatorReply:
        """Return the reply to the command.

        :param document: any object that can be encoded as JSON.
        """
        return OperatorReply(self.command_id, msgspec.json.encode(document), code)

    def require_text(self, name: str) -> str:
        """Return a text argument.

        :raises RequestError: ``BAD_FIELD`` if it is missing, empty or not a string.
        """
        value = self.arguments.get(name)
        if isinstance(value, str) and value:
            return value
        raise RequestError(
            ResultCode.BAD_FIELD, f'argument {name!r} must be a text, got {value!r}'
        )
