"""Competition for capacity: deadlines, fair shares of organisations, and returns."""
