"""Admission, routing, retries and verdicts of requests."""
