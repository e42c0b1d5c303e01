"""Experiments of the bench: their parameters, and the functions that run them."""
