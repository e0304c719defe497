"""The audit trail: who changed what, when, and why."""
