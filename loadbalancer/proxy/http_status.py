"""The HTTP status codes that the proxy sends or checks, and their reason phrases."""

from __future__ import annotations

OK = 200
BAD_REQUEST = 400
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
CONFLICT = 409
CONTENT_TOO_LARGE = 413
REQUEST_HEADER_FIELDS_TOO_LARGE = 431
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Lower status codes (1xx) are those of interim responses, which precede the final one.
FIRST_FINAL_STATUS = 200

REASON_PHRASES = {
    OK: "OK",
    BAD_REQUEST: "Bad Request",
    METHOD_NOT_ALLOWED: "Method Not Allowed",
    REQUEST_TIMEOUT: "Request Timeout",
    CONFLICT: "Conflict",
    CONTENT_TOO_LARGE: "Content Too Large",
    REQUEST_HEADER_FIELDS_TOO_LARGE: "Request Header Fields Too Large",
    SERVICE_UNAVAILABLE: "Service Unavailable",
    GATEWAY_TIMEOUT: "Gateway Timeout",
}
