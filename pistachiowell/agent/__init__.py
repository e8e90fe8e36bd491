"""Agent that runs requests at one backend server on behalf of the routers."""
