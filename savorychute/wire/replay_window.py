"""Protection against replayed frames."""

from __future__ import annotations

WINDOW_FRAMES = 1024
MAX_SENDERS = 4096


class ReplayWindow:
    """Accepts each frame of a sender once, like the anti-replay window of RFC 4303.

    Frames may be reordered by up to 1,024 positions.  Frames of an older incarnation
    of a sender are refused after one of a newer incarnation was received.  Each
    sender needs two integers and a bit mask of 128 bytes; the most recent 4,096
    senders are kept.
    """

    def __init__(self) -> None:
        self._senders: dict[str, tuple[int, int, int]] = {}

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Return whether the frame is new, and record it.

        :param sender: the name of the sending instance.
        :param incarnation: the sender's incarnation.
        :param sequence: the number of the frame in that incarnation, from 1.
        """
        # Reinserted at the end, so that the first entry is the least recently used.
        known = self._senders.pop(sender, None)
        if known is None or incarnation > known[0]:
            self._senders[sender] = (incarnation, sequence, 1)
            self._evict_oldest()
            return True
        self._senders[sender] = known
        if incarnation < known[0]:
            return False
        return self._accept_in_window(sender, known, sequence)

    def discard(self, sender: str) -> None:
        """Discard the state of a sender that has left permanently."""
        self._senders.pop(sender, None)

    def _evict_oldest(self) -> None:
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]

    def _accept_in_window(
        self, sender: str, known: tuple[int, int, int], sequence: int
    ) -> bool:
        incarnation, highest, seen = known
        ahead = sequence - highest
        if ahead > 0:
            shifted = (seen << min(ahead, WINDOW_FRAMES)) | 1
            seen = shifted & ((1 << WINDOW_FRAMES) - 1)
            self._senders[sender] = (incarnation, sequence, seen)
            return True
        if -ahead >= WINDOW_FRAMES:
            return False
        bit = 1 << -ahead
        if seen & bit:
            return False
        self._senders[sender] = (incarnation, highest, seen | bit)
        return True
