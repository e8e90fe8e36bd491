"""Claims of the router fleet."""
