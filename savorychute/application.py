"""The object that is passed to extensions."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.instance import Instance
    from savorychute.logs import InstanceLog
    from savorychute.settings.settings import Settings


class Application:
    """One instance with its settings, log and extensions.

    An extension is a module with a function ``setup(application)``.  It
    registers variants with the registries' decorators when it is imported, and
    connects to events in ``setup``.

    :param settings: the settings of the instance.
    :param instance: the instance.
    :param log: the log of the instance.
    """

    def __init__(
        self, settings: Settings, instance: Instance, log: InstanceLog
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.log = log

    def connect(self, name: str, callback: Callable[[Any], None]) -> None:
        """Call *callback* for each event of this name.

        :param name: one of :data:`savorychute.events.EVENT_NAMES`.
        :param callback: receives the event's typed payload.
        """
        self.instance.events.connect(name, callback)

    def set_up_extensions(self) -> None:
        """Set up the extensions listed in the settings, in that order."""
        for name in self.settings.extensions:
            module = importlib.import_module(name)
            module.setup(self)
            self.log.info('extension-ready', extension=name)
