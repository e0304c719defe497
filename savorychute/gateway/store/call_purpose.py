"""What a call to the platform's store is made for."""

from __future__ import annotations

from enum import Enum


class CallPurpose(Enum):
    """Why an instance calls; the value is the metric's label."""

    REGISTER = 'register'
    MEMBERS = 'members'
    ALLOW_REPEATS = 'allow-repeats'
    LEAVE = 'leave'
    LIST = 'list'
    READ_FOR_ALL = 'read-for-all'
    READ_FOR_ITSELF = 'read-for-itself'
    READ_DUTIES = 'read-duties'
    WRITE_DUTIES = 'write-duties'
