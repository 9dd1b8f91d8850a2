"""The entry role: takes requests from callers."""
