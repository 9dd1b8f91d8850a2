"""The endpoint role: stands before an engine or plain service."""
