"""Benchmarks: real processes on loopback, with stand-ins for the platform."""
