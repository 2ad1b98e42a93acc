"""Chooses the client connection that is evicted for a new one when the connection limit is reached."""

from __future__ import annotations

from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.client_timeouts import REQUEST_RECEIVE_TIMEOUT_S
from loadbalancer.proxy.connection_table import ConnectionTable

# A younger connection that awaits a request is not evicted: the request may be in transit.
MIN_EVICTION_AGE_S = 0.05

# While other connections await a request, a younger idle connection is not evicted: the others can be evicted
# or time out soon.
MIN_IDLE_EVICTION_AGE_S = REQUEST_RECEIVE_TIMEOUT_S


def eviction_candidate(
    closing: ConnectionTable, awaiting_request: ConnectionTable, idle: ConnectionTable
) -> ClientConnection | None:
    """Return the connection to abort for a new one, if any may be aborted.

    A closing connection is chosen first, then one that awaits a request, then an idle one; the oldest of its
    kind. One that awaits a request or is idle must be old enough and have no unread data. If the idle one
    that is chosen so has unsent data, no connection may be aborted.

    Args:
        closing: Connections that are being closed, also after a rejection; without those that were closed
            while part of a response was still to be written.
        awaiting_request: Connections whose first request is due, or whose request is partially received.
        idle: Connections that are kept alive between requests.
    """
    closing_client = closing.oldest()
    if closing_client is not None:
        return closing_client
    awaiting_client = next(awaiting_request.closeable(MIN_EVICTION_AGE_S), None)
    if awaiting_client is not None:
        return awaiting_client
    min_idle_age_s = MIN_IDLE_EVICTION_AGE_S if awaiting_request else 0.0
    idle_client = next(idle.closeable(min_idle_age_s), None)
    if idle_client is None or idle_client.has_unsent_data:
        return None
    return idle_client
