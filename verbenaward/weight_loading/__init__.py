"""Endpoint processes that only load model weights into the engine on their VM."""
