"""The outcomes that the key manager returns to its instance."""

from __future__ import annotations

from savorychute.requests.key_granted import KeyGranted
from savorychute.requests.key_redirect import KeyRedirect
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_replay import KeyReplay
from savorychute.requests.start_denied import StartDenied
from savorychute.requests.start_permitted import StartPermitted

KeyOutcome = (
    KeyRedirect | KeyGranted | KeyRefused | KeyReplay | StartDenied | StartPermitted
)
