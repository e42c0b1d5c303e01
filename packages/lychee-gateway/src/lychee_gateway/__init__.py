"""The daemon that serves callers and forwards their requests to backend servers."""
