"""Protection against frames that are sent a second time."""

from __future__ import annotations

WINDOW_FRAMES = 1024
MAX_SENDERS = 4096


class ReplayWindow:
    """Accepts each frame of a sender once, as the window of RFC 4303 does.

    Frames may arrive reordered by up to 1,024.  A sender's older incarnation
    is refused once a newer one was heard.  Memory: two integers and a bit
    mask of 128 bytes for each sender, of which the latest 4,096 are kept.
    """

    def __init__(self) -> None:
        self._senders: dict[str, tuple[int, int, int]] = {}

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Return whether the frame is new, and remember it.

        :param sender: the name of the instance that sent it.
        :param incarnation: the sender's incarnation.
        :param sequence: the frame's number in that incarnation, from 1.
        """
        # Taken out and put back at the end, so that the first is the eldest.
        known = self._senders.pop(sender, None)
        if known is None or incarnation > known[0]:
            self._senders[sender] = (incarnation, sequence, 1)
            self._drop_eldest()
            return True
        self._senders[sender] = known
        if incarnation < known[0]:
            return False
        return self._accept_in_window(sender, known, sequence)

    def forget(self, sender: str) -> None:
        """Drop what is known of a sender that is gone for good."""
        self._senders.pop(sender, None)

    def _drop_eldest(self) -> None:
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
