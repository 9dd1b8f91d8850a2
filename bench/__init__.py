"""Benches: real processes on loopback with stand-ins of the platform."""
