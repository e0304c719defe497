"""Request lifecycle, request keys and continuation handles."""

from __future__ import annotations

from savorychute.requests.continuation_handle import ContinuationHandle, decode_handle
from savorychute.requests.key_granted import KeyGranted
from savorychute.requests.key_issuer import KeyIssuer
from savorychute.requests.key_manager import KeyManager
from savorychute.requests.key_outcome import KeyOutcome
from savorychute.requests.key_redirect import KeyRedirect
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_replay import KeyReplay
from savorychute.requests.key_settings import KeySettings
from savorychute.requests.request_key import RequestKey, parse_key
from savorychute.requests.request_lifecycle import RequestLifecycle
from savorychute.requests.request_state import RequestState
from savorychute.requests.start_denied import StartDenied
from savorychute.requests.start_permitted import StartPermitted
