"""Duties towards the platform that one instance at a time carries out for all."""
