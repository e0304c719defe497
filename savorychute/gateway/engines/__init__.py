"""What instances know together about the speed of each engine."""
