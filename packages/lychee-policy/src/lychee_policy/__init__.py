"""Decisions on requests: choice of server, limits, retry budgets and outlier detection."""
