"""Connections: HTTP servers, HTTP clients and links between VMs."""
