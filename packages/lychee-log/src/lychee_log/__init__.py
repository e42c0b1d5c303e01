"""A replicated log with elections, synced appends, snapshots and changes of voters."""
