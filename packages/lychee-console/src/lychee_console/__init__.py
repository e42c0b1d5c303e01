"""The operators web console of forms."""
