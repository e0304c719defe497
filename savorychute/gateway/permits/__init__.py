"""Permits for calls to endpoints that take only so many a second."""
