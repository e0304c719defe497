"""Memory for responses that are held until they are complete."""

from __future__ import annotations


class ResponseMemory:
    """Limits what the attempts of all requests hold of responses together.

    A response is held so that another endpoint can be tried if it breaks off.  Without
    memory for that, it is forwarded as it arrives.

    :param limit_bytes: the limit for all of them.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory; return false if there is too little left.

        :param size_bytes: the number of bytes.
        """
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release reserved memory.

        :param size_bytes: the number of bytes.
        """
        self.used_bytes -= size_bytes
