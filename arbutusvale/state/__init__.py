"""In-memory state of a process; nothing here does input or output."""
