"""Simplified servers that replace external systems in tests, benches and the demo."""
