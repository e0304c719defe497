"""Duties towards the platform that one instance at a time performs for all."""
