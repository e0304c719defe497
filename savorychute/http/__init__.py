"""HTTP/1.1 by h11 over asyncio protocols, as server and as client."""

from __future__ import annotations
