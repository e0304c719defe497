"""The operator verbs and their JSON documents.

An operator sends ``POST /v1/operator/<verb>`` with the arguments as a JSON
object and a bearer token.  The response is a JSON object; its HTTP status and
the number in the header ``x-result-code`` are those of a result code.
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

from savorychute.contracts.contract_document import ContractDocument  # noqa: TC001
from savorychute.contracts.endpoint_document import EndpointDocument  # noqa: TC001

CONTRACT_SHOW = 'contract-show'
CONTRACT_AMEND = 'contract-amend'
CONTRACT_HISTORY = 'contract-history'
ENDPOINT_ADD = 'endpoint-add'
ENDPOINT_DRAIN = 'endpoint-drain'
ENDPOINT_RETIRE = 'endpoint-retire'
ENDPOINT_LIST = 'endpoint-list'
INSTANCE_LIST = 'instance-list'
STATUS = 'status'
AUDIT = 'audit'
EXPLAIN = 'explain'

OPERATOR_PATH = '/v1/operator/'
RESULT_CODE_HEADER = 'x-result-code'


class ContractShowArguments(TypedDict):
    """The response is ``{"organisation", "version", "document", "limits"}``."""

    organisation: str


class ContractAmendArguments(TypedDict):
    """The response is ``{"item", "version", "offset", "record_id"}``.

    ``base_version`` is the version that the document replaces, 0 for a new
    organisation.  A command that is sent again with the same ``record_id`` takes
    effect only once.
    """

    organisation: str
    base_version: int
    document: ContractDocument
    why: str
    record_id: NotRequired[str]


class ContractHistoryArguments(TypedDict):
    """The response is ``{"organisation", "history": [...]}``, oldest first."""

    organisation: str


class EndpointAddArguments(TypedDict):
    """The response is ``{"item", "version", "offset", "record_id"}``."""

    document: EndpointDocument
    base_version: int
    why: str
    record_id: NotRequired[str]


class EndpointChangeArguments(TypedDict):
    """Arguments of ``endpoint-drain`` and ``endpoint-retire``.

    The response is that of ``endpoint-add``.  Without ``base_version`` the change
    is based on the current version.
    """

    endpoint: str
    why: str
    base_version: NotRequired[int | None]
    record_id: NotRequired[str]


class NoArguments(TypedDict):
    """Arguments of ``endpoint-list``, ``instance-list`` and ``status``.

    The responses are ``{"endpoints": [...]}``, ``{"instances": [...]}`` and an
    object with the instance's state.
    """


class AuditArguments(TypedDict):
    """The response is ``{"entries": [...]}``; every filter is optional."""

    item: NotRequired[str]
    operator: NotRequired[str]
    since_offset: NotRequired[int]


class ExplainArguments(TypedDict):
    """The response is ``{"request_id", "history": [...]}``."""

    request_id: str


VERB_ARGUMENTS: dict[str, Any] = {
    CONTRACT_SHOW: ContractShowArguments,
    CONTRACT_AMEND: ContractAmendArguments,
    CONTRACT_HISTORY: ContractHistoryArguments,
    ENDPOINT_ADD: EndpointAddArguments,
    ENDPOINT_DRAIN: EndpointChangeArguments,
    ENDPOINT_RETIRE: EndpointChangeArguments,
    ENDPOINT_LIST: NoArguments,
    INSTANCE_LIST: NoArguments,
    STATUS: NoArguments,
    AUDIT: AuditArguments,
    EXPLAIN: ExplainArguments,
}
