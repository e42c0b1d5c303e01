"""Commands of the bench, one module each."""
