"""Simulated platform and backend servers for tests and trials."""
