"""Hold what a process remembers; no input or output happens here."""
