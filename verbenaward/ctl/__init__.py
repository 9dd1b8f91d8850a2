"""The operators' command-line tool verbenactl."""
