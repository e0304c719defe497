"""Contracts of customers, and the limits that follow from them."""
