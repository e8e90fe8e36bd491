"""The router program for fleets whose callers and servers speak plain HTTP."""
