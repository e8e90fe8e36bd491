"""Limits on the answers of backend servers, also of ones that never end."""

MAX_EVENT_BYTES = 256 * 1024
# Applies to answers about a server itself: its load, or the outcome of an order.
MAX_CONTROL_BYTES = 65_536
MAX_HELD_CONTROL_BYTES = 1024 * 1024
# Applies to a body that is kept as a whole.
MAX_BODY_BYTES = 16 * 1024 * 1024
