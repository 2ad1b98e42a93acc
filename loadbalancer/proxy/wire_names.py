"""Names in the HTTP protocol between clients, proxies, endpoints and discovery."""

from __future__ import annotations

from loadbalancer.messages import EndpointStatus

# Request headers, in lower case as the HTTP parser reports them.
REQUEST_ID_HEADER = b"req-id"
DEADLINE_MS_HEADER = b"req-deadline-ms"
COST_US_HEADER = b"req-cost"
TENANT_HEADER = b"req-owner"
IS_RETRY_HEADER = b"req-retry"
FORWARDED_DEADLINE_MS_HEADER = b"Req-Deadline-Ms"  # spelling in forwarded requests
COOKIE_HEADER = b"cookie"
AFFINITY_COOKIE = "user"  # an affinity key; no decision uses it

# Response headers.
DECLINED_HEADER = b"srv-declined"  # set by an endpoint that did not run the request
LOAD_REPORT_HEADER = b"srv-load"
RETRY_AFTER_HEADER = b"Retry-After"
ALLOW_HEADER = b"Allow"

FLAG_SET = b"1"  # value of a flag header that is set

# Paths.
READY_PATH = b"/health/ready"  # readiness of the proxy
LIVENESS_PATH = b"/health/live"  # liveness of an endpoint
LOAD_REPORT_PATH = b"/stats"  # load report of an endpoint
ENDPOINT_LIST_PATH = "/registry/instances"  # endpoint list of discovery

# Query parameters of a watch call.
AFTER_VERSION_PARAMETER = "after"
WAIT_MS_PARAMETER = "wait_ms"

# Members of an endpoint list.
LIST_VERSION = "seq"
LIST_COMPLETE = "whole"
LIST_ENDPOINTS = "hosts"

# Members of an entry of the list.
ENTRY_HOST = "host"
ENTRY_ADDRESS = "dial"
ENTRY_STATUS = "health"
ENTRY_ZONE = "site"
ENTRY_CELL = "block"
ENTRY_MACHINE_TYPE = "class"
ENTRY_WEIGHT = "share"
ENTRY_STARTED_MS = "born_ms"  # start as Unix time in milliseconds

STATUS_BY_NAME = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
