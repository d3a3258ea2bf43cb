"""Messages, record formats, ports, and the adapters that implement ports."""
