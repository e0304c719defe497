"""What the decoder of JSON raises."""

from __future__ import annotations

import msgspec

# Arrays that are nested some thousand times end the decoder's recursion instead.  From
# another writer they would otherwise stop the reading of a whole topic.
JSON_ERRORS = (msgspec.DecodeError, RecursionError)
