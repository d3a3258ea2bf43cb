"""A fleet of routers between callers and backend servers.

It routes returning chats to the engines that cache their prompts and runs
non-idempotent calls at most once.
"""

__version__ = '0.1.0'
