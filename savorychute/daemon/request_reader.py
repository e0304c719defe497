"""Parser of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

import msgspec

from savorychute.endpoints.chat_documents import ChatRequest
from savorychute.endpoints.prompt_blocks import (
    estimate_tokens,
    hash_prefixes,
    render_messages,
)
from savorychute.errors import RequestError
from savorychute.inputs import CallerRequest
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.http.http_request import HttpRequest

BEARER_PREFIX = 'bearer '
CHAT_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/v1/services/'
CLASS_HEADER = 'x-request-class'
KEY_HEADER = 'x-request-key'
HANDLE_HEADER = 'x-continuation-handle'
MAX_TOKENS = 1_000_000

_chat_decoder = msgspec.json.Decoder(ChatRequest)


def read_token(request: HttpRequest) -> str:
    """Return the bearer token, or an empty string.

    :param request: the HTTP request.
    """
    value = request.header('authorization')
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ''
    return value[len(BEARER_PREFIX) :].strip()


def read_chat(request_id: str, request: HttpRequest) -> CallerRequest:
    """Return the caller's request for a chat completion.

    :param request_id: the id that the instance assigned.
    :param request: the HTTP request.
    :raises RequestError: if the body is invalid.
    """
    document = _decode_chat(request.body)
    max_tokens = document.get('max_tokens') or 0
    if not 0 <= max_tokens <= MAX_TOKENS:
        raise RequestError(
            ResultCode.BAD_FIELD, f'max_tokens {max_tokens}: 0 to {MAX_TOKENS}'
        )
    if not document['model']:
        raise RequestError(ResultCode.BAD_FIELD, 'model is empty')
    prompt = render_messages(document['messages'])
    return CallerRequest(
        request_id=request_id,
        token=read_token(request),
        class_name=request.header(CLASS_HEADER),
        model=document['model'],
        service='',
        method=request.method,
        path=request.target,
        body=request.body,
        stream=document.get('stream', False),
        prompt_tokens=estimate_tokens(prompt),
        max_tokens=max_tokens,
        prefix_hashes=hash_prefixes(prompt),
        key=request.header(KEY_HEADER),
        handle=request.header(HANDLE_HEADER),
    )


def read_service_call(request_id: str, request: HttpRequest) -> CallerRequest:
    """Return the caller's request to a plain service.

    :param request_id: the id that the instance assigned.
    :param request: the HTTP request.
    :raises RequestError: if the path names no service.
    """
    service, _, remaining_path = request.target[len(SERVICES_PREFIX) :].partition('/')
    if not service or '?' in service:
        raise RequestError(ResultCode.NOT_FOUND, 'the path names no service')
    return CallerRequest(
        request_id=request_id,
        token=read_token(request),
        class_name=request.header(CLASS_HEADER),
        model='',
        service=unquote(service),
        method=request.method,
        path=f'/{remaining_path}',
        body=request.body,
        stream=False,
        prompt_tokens=0,
        max_tokens=0,
        key=request.header(KEY_HEADER),
        handle=request.header(HANDLE_HEADER),
    )


def _decode_chat(body: bytes) -> ChatRequest:
    try:
        return _chat_decoder.decode(body)
    except msgspec.ValidationError as error:
        raise RequestError(ResultCode.BAD_FIELD, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(ResultCode.BAD_JSON, str(error)) from error
    except RecursionError as error:
        message = 'the document is nested too deeply'
        raise RequestError(ResultCode.BAD_JSON, message) from error
