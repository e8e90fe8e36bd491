"""Router of the router fleet."""
