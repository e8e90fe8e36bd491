"""Router and agent programs for fleets whose callers and servers use plain HTTP."""
