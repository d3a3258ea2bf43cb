"""Make the decisions: placement, admission, claims, gossip, rollout."""
