"""The hub: soft state, documents, and the group that keeps them."""
