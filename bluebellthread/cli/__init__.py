"""Command-line tool for operators of the router."""
