"""Offer the command line programs."""
