"""The timeouts of a client connection in each of its states."""

from __future__ import annotations

# Limits the time from the connect, or from the first byte of a later request, to the request's last byte.
REQUEST_RECEIVE_TIMEOUT_S = 2.25

# Limits how long a connection is kept alive between requests. Clients are promised 2 s, and some never close
# idle connections themselves.
KEEP_ALIVE_TIMEOUT_S = 2.0

# Limits how long a rejected client may take to read its response and close the connection.
LINGERING_CLOSE_TIMEOUT_S = 0.5

# Limits how long the rest of a large response may take to be written after a close.
FLUSH_TIMEOUT_S = 3.0

# How often the connections are checked for timeouts.
TIMEOUT_CHECK_INTERVAL_S = 0.1
