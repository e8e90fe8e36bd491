"""Tables of the router fleet."""
