"""The course of a request in sentences."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.explain.sentences import tell

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.explain.log_line import LogLine

# What an instance came to believe this long before a request may have decided it, and
# what it learned this long after it may show why.
BEFORE_S = 15.0
AFTER_S = 6.0
BELIEFS = frozenset(
    {
        'configuration-applied',
        'dependency-lost',
        'dependency-regained',
        'instance-leaving',
        'instance-started',
        'settings-reloaded',
    }
)

# What endpoints say of themselves; it may be why a request was sent to none.
STATEMENTS = frozenset({'leaving-stated', 'limit-stated', 'rest-stated'})


def tell_story(request_id: str, lines: Sequence[LogLine]) -> list[str]:
    """Return a sentence for each line that explains a request.

    These are the request's own lines, what its instances believed around it, and what
    became of the endpoints that it was sent to.

    :param request_id: of the request.
    :param lines: of all instances, by time.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    instances = {line.instance for line in own}
    endpoints = {line.fields.get('endpoint') for line in own} - {None, ''}
    told = BELIEFS if endpoints else BELIEFS | STATEMENTS
    begin_s = own[0].timestamp_s - BEFORE_S
    end_s = own[-1].timestamp_s + AFTER_S
    chosen = [
        line
        for line in lines
        if line.request_id == request_id
        or (
            begin_s <= line.timestamp_s <= end_s
            and line.instance in instances
            and (line.event in told or line.fields.get('endpoint') in endpoints)
            and not line.request_id
        )
    ]
    first_s = own[0].timestamp_s
    return [
        f'{line.timestamp_s - first_s:+9.3f} s  {line.instance}  {tell(line)}'
        for line in chosen
    ]
