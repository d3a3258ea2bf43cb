"""Placement, admission, at-most-once claims, gossip and rollout."""
