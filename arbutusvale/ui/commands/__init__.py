"""Hold one module per command."""
