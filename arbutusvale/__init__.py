"""Routing of returning chats and non-idempotent calls to backend servers."""

__version__ = '0.1.0'
