"""How long a client's connection may stay in each of its states."""

from __future__ import annotations

# From connecting, or from a request's first byte, to its last byte.
REQUEST_RECEIVE_TIMEOUT_S = 2.25

# Between requests. Clients are promised 2 s, and some keep idle connections for good.
KEEP_ALIVE_TIMEOUT_S = 2.0

# For a rejected client to read its response.
LINGERING_CLOSE_TIMEOUT_S = 0.5

# For the last bytes of a large response to be written after a close.
FLUSH_TIMEOUT_S = 3.0

# How often the connections are checked for timeouts.
TIMEOUT_CHECK_INTERVAL_S = 0.1
