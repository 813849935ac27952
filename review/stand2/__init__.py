"""Small stand-ins of the second review: store, workers, clients, entries."""
