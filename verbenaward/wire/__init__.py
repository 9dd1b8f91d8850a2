"""Encoding and transport of the messages between processes."""
