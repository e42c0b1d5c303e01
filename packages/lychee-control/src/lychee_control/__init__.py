"""The daemon that replicates configuration, membership, ownership and the request ledger."""
