"""Soak edge routers as real processes under random, overlapping faults."""
