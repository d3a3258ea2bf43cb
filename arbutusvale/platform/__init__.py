"""Translation between the users' platform and the project's types."""
