"""The purposes of calls to the platform's store."""

from __future__ import annotations

from enum import Enum


class CallPurpose(Enum):
    """The purpose of a call; the value is the label of the metric."""

    REGISTER = 'register'
    MEMBERS = 'members'
    ALLOW_REPEATS = 'allow-repeats'
    LEAVE = 'leave'
    LIST = 'list'
    READ_FOR_ALL = 'read-for-all'
    READ_FOR_ITSELF = 'read-for-itself'
    READ_DUTIES = 'read-duties'
    WRITE_DUTIES = 'write-duties'
    MARK_VERSIONS = 'mark-versions'
    RECORD_STREAMS = 'record-streams'
    WRITE_VERDICTS = 'write-verdicts'
