"""Decisions on placement and admission under load, without network or event loop."""
