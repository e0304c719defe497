"""Incrementally updated table of the home instances of many keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.rendezvous import choose_homes, score_member

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView


class HomeTable:
    """The home instance of each key, in the key's own region if possible.

    A joining member costs one hash per key of its region; a departing member
    costs a full selection only for the keys whose home it was.
    """

    def __init__(self) -> None:
        self._regions: dict[str, str] = {}
        self._homes: dict[str, MemberAddress] = {}
        self._keys_of: dict[str, set[str]] = {}
        self._members: dict[str, MemberAddress] = {}
        self._alive: tuple[MemberAddress, ...] = ()

    def set_keys(self, regions: Mapping[str, str]) -> None:
        """Replace the keys.

        :param regions: each key's region.
        """
        for key in [k for k, r in self._regions.items() if regions.get(k) != r]:
            self._drop_key(key)
        new_keys = [key for key in regions if key not in self._regions]
        self._regions.update((key, regions[key]) for key in new_keys)
        self._assign_homes(new_keys)

    def set_view(self, view: MemberView) -> None:
        """Update the homes after a change of the members.

        :param view: the current members; passing the same view again is free.
        """
        if view.alive is self._alive:
            return
        self._alive = view.alive
        previous = self._members
        self._members = {member.instance: member for member in view.alive}
        self._apply_joins(previous)
        self._apply_departures(previous)
        self._assign_homes(self._keys_without_region(previous))

    def home_of(self, key: str) -> MemberAddress | None:
        """Return the key's home, or None if no member is alive.

        :param key: one of the keys that were set.
        """
        return self._homes.get(key)

    def keys_of(self, instance: str) -> frozenset[str]:
        """Return the keys whose home is *instance*.

        :param instance: a member's name.
        """
        return frozenset(self._keys_of.get(instance, ()))

    def _keys_without_region(self, previous: Mapping[str, MemberAddress]) -> list[str]:
        """Return the keys whose region has no member now or had none before.

        Their homes are in any region, so every change may move them.  They return
        to their own region as soon as a member is alive there.
        """
        regions_before = {member.region for member in previous.values()}
        regions_after = {member.region for member in self._members.values()}
        populated_regions = regions_before & regions_after
        return [
            k for k, region in self._regions.items() if region not in populated_regions
        ]

    def _apply_joins(self, previous: Mapping[str, MemberAddress]) -> None:
        for instance, member in self._members.items():
            previous_member = previous.get(instance)
            if previous_member == member:
                continue
            if previous_member is not None and previous_member.region == member.region:
                self._update_home_address(member)
                continue
            for key, region in self._regions.items():
                if region == member.region:
                    self._move_if_higher(key, member)

    def _apply_departures(self, previous: Mapping[str, MemberAddress]) -> None:
        orphaned_keys: list[str] = []
        for instance, previous_member in previous.items():
            member = self._members.get(instance)
            if member is None or member.region != previous_member.region:
                orphaned_keys.extend(self._keys_of.get(instance, ()))
        self._assign_homes(orphaned_keys)

    def _update_home_address(self, member: MemberAddress) -> None:
        for key in self._keys_of.get(member.instance, ()):
            self._homes[key] = member

    def _move_if_higher(self, key: str, member: MemberAddress) -> None:
        home = self._homes.get(key)
        if home is None or score_member(key, member) > score_member(key, home):
            self._set_home(key, member)

    def _assign_homes(self, keys: Sequence[str]) -> None:
        by_region: dict[str, list[MemberAddress]] = {}
        for member in self._alive:
            by_region.setdefault(member.region, []).append(member)
        for key in keys:
            candidates = by_region.get(self._regions[key]) or self._alive
            homes = choose_homes(key, candidates, 1)
            if homes:
                self._set_home(key, homes[0])
            else:
                self._unset_home(key)

    def _set_home(self, key: str, member: MemberAddress) -> None:
        self._unset_home(key)
        self._homes[key] = member
        self._keys_of.setdefault(member.instance, set()).add(key)

    def _unset_home(self, key: str) -> None:
        home = self._homes.pop(key, None)
        if home is None:
            return
        keys = self._keys_of[home.instance]
        keys.discard(key)
        if not keys:
            del self._keys_of[home.instance]

    def _drop_key(self, key: str) -> None:
        self._unset_home(key)
        del self._regions[key]
