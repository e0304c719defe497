"""A judge of crashes on a clock that tests advance."""

from __future__ import annotations

from itertools import count

from savorychute.crashes.crash_judge import CrashJudge
from savorychute.crashes.lost_request import make_lost_request
from savorychute.crashes.request_traits import make_traits

SERVICE = 'pool'
# Longer than a judge doubts what it knows of successes.
START_MS = 20_000


class Court:
    """A judge, the time, and the verdicts that it has told of."""

    def __init__(self, now_ms=START_MS):
        self.judge = CrashJudge(0)
        self.now_ms = now_ms
        self.changes = []
        self.judge.on_verdict = lambda verdict, reason: self.changes.append(
            (reason, verdict)
        )
        self._names = count()
        self._runs = count()

    def request(self, *parts, name=None):
        """Return the traits of a request, by default of a new one."""
        return make_traits(name or f'r{next(self._names)}', parts)

    def crash(self, *requests, after_ms=1_000, service=SERVICE):
        """Lose requests with an endpoint."""
        self.now_ms += after_ms
        run = f'run-{next(self._runs)}'
        losses = [make_lost_request(run, each.request, each.parts) for each in requests]
        self.judge.record_losses(service, losses, self.now_ms, self.now_ms)

    def succeed(self, request, after_ms=10, service=SERVICE):
        """Let a request succeed."""
        self.now_ms += after_ms
        return self.judge.clear_request(service, request, self.now_ms)

    def decide(self, request, may_try=False, service=SERVICE):
        """Return what the judge decides on a request."""
        return self.judge.decide(service, request, self.now_ms, may_try=may_try)

    def verdict(self, service=SERVICE):
        """Return the only verdict in force, or None."""
        verdicts = [
            each
            for each in self.judge.verdicts
            if not each.lifted and each.key.service == service
        ]
        assert len(verdicts) <= 1
        return verdicts[0] if verdicts else None


def part(name):
    """Return the trait of a part."""
    return make_traits('', [name]).parts[0]
