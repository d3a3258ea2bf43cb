"""Load generator and benchmarks for a running fleet."""
