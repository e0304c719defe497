"""Permits for calls to endpoints that state a limit of calls per second."""
