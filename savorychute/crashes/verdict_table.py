"""The verdicts in force at one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.crashes.verdict import MAX_DELAY_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from savorychute.crashes.verdict import Verdict, VerdictKey

MAX_VERDICTS = 512
# A lifted verdict is remembered, so that a late message does not restore it.
LIFTED_MEMORY_MS = 600_000


class VerdictTable:
    """Verdicts by service and traits; the newest change of each one counts."""

    def __init__(self) -> None:
        self._verdicts: dict[VerdictKey, Verdict] = {}
        # The verdicts in force, by service and each of their traits.
        self._by_trait: dict[tuple[str, int], list[VerdictKey]] = {}
        self._lifted_ms: dict[VerdictKey, int] = {}

    def __iter__(self) -> Iterator[Verdict]:
        return iter(tuple(self._verdicts.values()))

    def __len__(self) -> int:
        return sum(not verdict.lifted for verdict in self._verdicts.values())

    def get(self, key: VerdictKey) -> Verdict | None:
        """Return a verdict, also a lifted one, or None.

        :param key: its key.
        """
        return self._verdicts.get(key)

    def find(self, service: str, traits: Iterable[int]) -> Verdict | None:
        """Return a verdict in force on a request, or None.

        :param service: the service of the request.
        :param traits: its traits.
        """
        if not self._by_trait:
            return None
        held = frozenset(traits)
        for trait in held:
            for key in self._by_trait.get((service, trait), ()):
                if held.issuperset(key.traits):
                    return self._verdicts[key]
        return None

    def list_on(self, service: str, traits: Iterable[int]) -> list[Verdict]:
        """Return the verdicts in force that concern any of some traits.

        :param service: the service.
        :param traits: the traits.
        """
        if not self._by_trait:
            return []
        keys = dict.fromkeys(
            key for trait in traits for key in self._by_trait.get((service, trait), ())
        )
        return [self._verdicts[key] for key in keys]

    def put(self, verdict: Verdict, now_ms: int) -> bool:
        """Apply a change of a verdict; return whether it is newer than the known one.

        :param verdict: the verdict after the change.
        :param now_ms: the current time.
        """
        known = self._verdicts.get(verdict.key)
        if known is not None and verdict.sequence <= known.sequence:
            return False
        if known is not None:
            self._remove_index(verdict.key)
        self._verdicts[verdict.key] = verdict
        if verdict.lifted:
            self._lifted_ms[verdict.key] = now_ms
        else:
            self._lifted_ms.pop(verdict.key, None)
            for trait in verdict.key.traits:
                index_key = verdict.key.service, trait
                self._by_trait.setdefault(index_key, []).append(verdict.key)
        while len(self._verdicts) > MAX_VERDICTS:
            self._drop(min(self._verdicts.values(), key=_make_retention_key).key)
        return True

    def expire(self, now_ms: int) -> list[Verdict]:
        """Forget old lifted verdicts; return those in force that nobody needs.

        A request with the traits would have been tried when the trial was due.

        :param now_ms: the current time.
        """
        for key, lifted_ms in tuple(self._lifted_ms.items()):
            if now_ms - lifted_ms > LIFTED_MEMORY_MS:
                self._drop(key)
        return [
            verdict
            for verdict in self._verdicts.values()
            if not verdict.lifted and now_ms - verdict.due_ms > MAX_DELAY_MS
        ]

    def _drop(self, key: VerdictKey) -> None:
        self._remove_index(key)
        del self._verdicts[key]
        self._lifted_ms.pop(key, None)

    def _remove_index(self, key: VerdictKey) -> None:
        for trait in key.traits:
            keys = self._by_trait.get((key.service, trait), [])
            if key in keys:
                keys.remove(key)
            if not keys:
                self._by_trait.pop((key.service, trait), None)


def _make_retention_key(verdict: Verdict) -> tuple[bool, bool, int]:
    """Return a key that is larger for verdicts that are more worth keeping."""
    return not verdict.lifted, verdict.certain, verdict.due_ms
