"""Stand in for the platform and the backend servers in tests."""
