"""Measurements of the control costs of an instance, one module for each role."""
