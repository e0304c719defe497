"""Arguments that amendment commands share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import RequestError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.instance.operator_call import OperatorCall


def read_base_version(call: OperatorCall) -> int:
    """Return the version that an amendment is based on; 0 for a new item.

    :raises RequestError: ``BAD_FIELD`` if it is not a whole number.
    """
    value = call.arguments.get('base_version', 0)
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    raise RequestError(
        ResultCode.BAD_FIELD,
        f'argument "base_version" must be a whole number, got {value!r}',
    )
