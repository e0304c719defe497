"""Retries that all instances share, and requests that crash endpoints."""
