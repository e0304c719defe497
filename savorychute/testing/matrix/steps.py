"""The externally visible steps of requests and amendments."""

from __future__ import annotations

KEYED = 'key-asked'
RECEIVED = 'received'
QUEUED = 'queued'
ANNOUNCED = 'announced'
STARTED = 'started'
SENT = 'sent'
ACCEPTED = 'accepted'
FIRST_TOKEN = 'first-token'
STREAMING = 'streaming'
ENDING = 'ending'
ANSWERED = 'answered'

REQUEST_STEPS = (
    KEYED,
    RECEIVED,
    QUEUED,
    ANNOUNCED,
    STARTED,
    SENT,
    ACCEPTED,
    FIRST_TOKEN,
    STREAMING,
    ENDING,
    ANSWERED,
)

#: Only requests with a key have these steps.
KEY_STEPS = frozenset((KEYED, ANNOUNCED))

COMMANDED = 'commanded'
APPENDING = 'appending'
APPENDED = 'appended'
REPLIED = 'replied'
SPREADING = 'spreading'

AMENDMENT_STEPS = (COMMANDED, APPENDING, APPENDED, REPLIED, SPREADING)

ANY_CALL = '*call'
ANY_COMMAND = '*command'
