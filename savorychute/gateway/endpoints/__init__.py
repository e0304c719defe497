"""State of endpoints: entries, runs, health, load reports and statements."""
