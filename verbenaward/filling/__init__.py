"""Endpoint processes that only fill the engine on their VM with weights."""
