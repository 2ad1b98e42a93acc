"""Converts events of the simulator's wire to messages of the policy, and the policy's actions to commands.

The operators' wire page describes the format. `settings_reader` reads the settings; `simulator_adapter` reads
the batches, and the events that start or stop a balancer or carry an endpoint list. Unknown keys are ignored;
an optional key that is absent leaves the default of the message's field. The readers raise KeyError,
TypeError, ValueError or AttributeError if an object violates the format.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import TypeGuard, assert_never

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointStatus,
    EndpointUpdateKind,
    Event,
    Fail,
    FetchEndpoints,
    Forward,
    GossipReceived,
    HealthCheckEnded,
    LogMessage,
    Reject,
    RequestArrived,
    ResponseStarted,
    SendGossip,
    SetTimer,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.settings_reader import Json

RESULT_BY_NAME = {
    "delivered": AttemptResult.OK,
    "app_error": AttemptResult.ERROR,
    "shed": AttemptResult.REJECTED,
    "expired": AttemptResult.TIMEOUT,
    "dial_failed": AttemptResult.CONNECT_FAILED,
    "dropped": AttemptResult.RESET,
    "revoked": AttemptResult.CANCELLED,
    "unused": AttemptResult.NOT_SENT,
}
STATUS_BY_NUMBER = {0: EndpointStatus.REMOVED, 1: EndpointStatus.READY, 2: EndpointStatus.DRAINING}
UPDATE_KIND_BY_FORM = {
    0: EndpointUpdateKind.DELTA,
    1: EndpointUpdateKind.FULL,
    2: EndpointUpdateKind.CACHED,
    3: EndpointUpdateKind.FAILED,
}


def read_endpoint(row: Json) -> Endpoint:
    """Read an entry of an endpoint list."""
    return Endpoint(
        id=row["upstream"],
        status=STATUS_BY_NUMBER[row.get("availability", 1)],
        zone=row.get("locality") or "",
        cell=row.get("cohort") or 0,
        weight=row.get("scale") or 1.0,
        started_ns=row.get("up_since_ns") or 0,
        machine_type=row.get("class_of_host") or "",
    )


def read_event(event: Json) -> Event:
    """Read any event but an endpoint update, which refers to its list by number (see `simulator_adapter`)."""
    return EVENT_READERS[event["t"]](event)


def is_integer(value: object) -> TypeGuard[int]:
    """Return whether a JSON value is an integer; booleans are not, though `bool` is a subclass of `int`."""
    return isinstance(value, int) and not isinstance(value, bool)


def _integer(event: Json, name: str) -> int:
    value = event[name]
    if not is_integer(value):
        raise TypeError(f"{name}: {value!r} is not an integer")
    return value


def _text(event: Json, name: str) -> str:
    value = event[name]
    if not isinstance(value, str):
        raise TypeError(f"{name}: {value!r} is not a string")
    return value


def _load_report(event: Json) -> dict[str, float] | None:
    report = event.get("metrics")
    if report is None:
        return None
    if not isinstance(report, dict) or not all(isinstance(v, int | float) for v in report.values()):
        raise TypeError(f"metrics: {report!r} is not an object of numbers")
    return report


def _request_arrived(event: Json) -> RequestArrived:
    return RequestArrived(
        request_id=_text(event, "ticket"),
        class_name=_text(event, "kind"),
        tenant=str(event.get("user_group") or ""),
        deadline_ns=_integer(event, "deadline_ns"),
        cost_hint_ns=event.get("cost_guess_ns") or 0,
        affinity_key=event.get("entity") or "",
        is_retry=bool(event.get("resent")),
    )


def _attempt_ended(event: Json) -> AttemptEnded:
    return AttemptEnded(
        request_id=_text(event, "ticket"),
        attempt=_integer(event, "attempt"),
        endpoint_id=_integer(event, "upstream"),
        result=RESULT_BY_NAME[event["result"]],
        elapsed_ns=event.get("took_ns") or 0,
        request_complete=bool(event.get("complete")),
        load_report=_load_report(event),
    )


def _timer_expired(event: Json) -> TimerExpired:
    return TimerExpired(_text(event, "name"))


def _client_disconnected(event: Json) -> ClientDisconnected:
    return ClientDisconnected(_text(event, "ticket"))


def _response_started(event: Json) -> ResponseStarted:
    return ResponseStarted(
        request_id=_text(event, "ticket"),
        attempt=_integer(event, "attempt"),
        endpoint_id=_integer(event, "upstream"),
        elapsed_ns=event.get("took_ns") or 0,
    )


def _health_check_ended(event: Json) -> HealthCheckEnded:
    return HealthCheckEnded(
        endpoint_id=_integer(event, "upstream"),
        result=RESULT_BY_NAME[event["result"]],
        elapsed_ns=event.get("took_ns") or 0,
        load_report=_load_report(event),
    )


def _gossip_received(event: Json) -> GossipReceived:
    return GossipReceived(_integer(event, "origin_peer"), base64.b64decode(event["blob"], validate=True))


EVENT_READERS: dict[str, Callable[[Json], Event]] = {
    "submit": _request_arrived,
    "returned": _attempt_ended,
    "timer": _timer_expired,
    "dropped": _client_disconnected,
    "accepted": _response_started,
    "probe_result": _health_check_ended,
    "message": _gossip_received,
}


def write_command(action: Action) -> Json:
    """Return the wire's command for an action, without the number of the balancer."""
    match action:
        case Forward() | Reject() | Fail() | CancelAttempt():
            return _request_command(action)
        case CheckHealth() | CloseIdleConnections() | WatchEndpoints() | FetchEndpoints():
            return _endpoint_command(action)
        case SetTimer(delay_ns, name):
            return {"t": "schedule", "wait_ns": delay_ns, "name": name}
        case SendGossip(data, recipient):
            return {"t": "announce", "dst": recipient, "blob": base64.b64encode(data).decode()}
        case LogMessage(text):
            return {"t": "write_log", "message": text}
        case _:
            assert_never(action)


def _request_command(action: Forward | Reject | Fail | CancelAttempt) -> Json:
    match action:
        case Forward(request_id, endpoint_id, timeout_ns):
            return {
                "t": "submit_to",
                "ticket": request_id,
                "upstream": endpoint_id,
                "timeout_ns": timeout_ns,
            }
        case Reject(request_id, retry_after_ns):
            return {"t": "push_back", "ticket": request_id, "backoff_ns": retry_after_ns}
        case Fail(request_id):
            return {"t": "finish_error", "ticket": request_id}
        case CancelAttempt(request_id, attempt):
            return {"t": "retract", "ticket": request_id, "attempt": attempt}
        case _:
            assert_never(action)


def _endpoint_command(action: CheckHealth | CloseIdleConnections | WatchEndpoints | FetchEndpoints) -> Json:
    match action:
        case CheckHealth(endpoint_id):
            return {"t": "sample", "upstream": endpoint_id}
        case CloseIdleConnections(endpoint_id):
            return {"t": "close", "upstream": endpoint_id}
        case WatchEndpoints(watch):
            return {"t": "track", "active": watch}
        case FetchEndpoints():
            return {"t": "fetch"}
        case _:
            assert_never(action)
