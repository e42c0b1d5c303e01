"""Experiments of the bench: what is measured, as data, and how."""
