"""Tells what happened to a request, from the logs of a deployment."""
