"""Soak tests: real edge router processes under random, overlapping faults."""
