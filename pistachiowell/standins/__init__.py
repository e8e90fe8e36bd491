"""Stand-ins that imitate the store, backend servers and links of a router fleet."""
