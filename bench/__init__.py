"""Measurements; each module is a program."""
