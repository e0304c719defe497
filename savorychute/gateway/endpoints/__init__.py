"""What is known of endpoints: entries, runs, health, load reports."""
