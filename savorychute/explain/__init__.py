"""Explains what happened to requests, from the logs of a deployment."""
