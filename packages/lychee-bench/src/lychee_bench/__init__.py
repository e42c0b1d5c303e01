"""Stand-in backend servers, callers, faults, experiments and reports."""
