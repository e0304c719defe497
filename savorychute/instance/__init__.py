"""A complete instance, assembled from its parts."""

from __future__ import annotations

from savorychute.instance.core import Instance
from savorychute.instance.instance_settings import InstanceSettings
