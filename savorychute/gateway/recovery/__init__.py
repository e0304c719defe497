"""Retry limits shared by all instances, and detection of requests that crash endpoints."""
