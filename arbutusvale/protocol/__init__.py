"""Define what is exchanged: messages, codecs, adapters and ports."""
