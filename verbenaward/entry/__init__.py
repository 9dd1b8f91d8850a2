"""The entry role: accepts requests of callers and sends them to endpoints."""
