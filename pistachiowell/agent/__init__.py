"""Agent of the router fleet."""
