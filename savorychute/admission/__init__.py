"""Admission control: queueing, start order and load shedding of requests."""

from __future__ import annotations

from savorychute.admission.admission import ADMISSIONS, Admission
from savorychute.admission.fifo import FifoAdmission
from savorychute.admission.offer_outcome import OfferOutcome
from savorychute.admission.queued_request import QueuedRequest
from savorychute.admission.running_request import RunningRequest
from savorychute.admission.settings import AdmissionSettings
from savorychute.admission.shed_request import ShedRequest
from savorychute.admission.tiered import TieredAdmission

__all__ = [
    'ADMISSIONS',
    'Admission',
    'AdmissionSettings',
    'FifoAdmission',
    'OfferOutcome',
    'QueuedRequest',
    'RunningRequest',
    'ShedRequest',
    'TieredAdmission',
]
