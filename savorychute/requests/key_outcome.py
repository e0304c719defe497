"""What a key keeper tells its instance."""

from __future__ import annotations

from savorychute.requests.key_elsewhere import KeyElsewhere
from savorychute.requests.key_may_run import KeyMayRun
from savorychute.requests.key_refused import KeyRefused
from savorychute.requests.key_replay import KeyReplay
from savorychute.requests.start_denied import StartDenied
from savorychute.requests.start_permitted import StartPermitted

KeyOutcome = (
    KeyElsewhere | KeyMayRun | KeyRefused | KeyReplay | StartDenied | StartPermitted
)
