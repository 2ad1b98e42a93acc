"""The adapter: hosts many balancers on the simulator's wire. It translates and decides nothing.

    python -m loadbalancer.simulator_adapter < batches > replies

One JSON object a line each way. A line that is not a batch ends the process with a message on standard
error and exit status 2; an exception inside a balancer is reported as that balancer's `fault`.
"""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Sequence
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
    EndpointUpdate,
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
from loadbalancer.policy.balancer import Balancer
from loadbalancer.settings import Json, read_settings

RESULTS = {
    "delivered": AttemptResult.OK,
    "app_error": AttemptResult.ERROR,
    "shed": AttemptResult.REJECTED,
    "expired": AttemptResult.TIMEOUT,
    "dial_failed": AttemptResult.CONNECT_FAILED,
    "dropped": AttemptResult.RESET,
    "revoked": AttemptResult.CANCELLED,
    "unused": AttemptResult.NOT_SENT,
}
STATES = {0: EndpointStatus.REMOVED, 1: EndpointStatus.READY, 2: EndpointStatus.DRAINING}
LISTS = {
    0: EndpointUpdateKind.DELTA,
    1: EndpointUpdateKind.FULL,
    2: EndpointUpdateKind.CACHED,
    3: EndpointUpdateKind.FAILED,
}


class MalformedInputError(Exception):
    """The input is not what the wire allows."""


def read_upstream(row: Json) -> Endpoint:
    return Endpoint(
        row["upstream"],
        STATES[row.get("availability", 1)],
        row.get("locality") or "",
        row.get("cohort") or 0,
        row.get("scale") or 1.0,
        row.get("up_since_ns") or 0,
        row.get("class_of_host") or "",
    )


def _is_whole(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def _whole(e: Json, name: str) -> int:
    value = e[name]
    if not _is_whole(value):
        raise TypeError(f"{name} is no whole number")
    return value


def _text(e: Json, name: str) -> str:
    if not isinstance(e[name], str):
        raise TypeError(f"{name} is no text")
    return str(e[name])


def _metrics(e: Json) -> dict[str, float] | None:
    """The load report, if there is one: an object of numbers."""
    report = e.get("metrics")
    if report is None:
        return None
    if not isinstance(report, dict) or not all(isinstance(v, int | float) for v in report.values()):
        raise TypeError("metrics is no object of numbers")
    return report


def _arrival(e: Json) -> Event:
    return RequestArrived(
        _text(e, "ticket"),
        _text(e, "kind"),
        str(e.get("user_group") or ""),
        _whole(e, "deadline_ns"),
        e.get("cost_guess_ns") or 0,
        e.get("entity") or "",
        bool(e.get("resent")),
    )


def _outcome(e: Json) -> Event:
    return AttemptEnded(
        _text(e, "ticket"),
        _whole(e, "attempt"),
        _whole(e, "upstream"),
        RESULTS[e["result"]],
        e.get("took_ns") or 0,
        bool(e.get("complete")),
        _metrics(e),
    )


READ: dict[str, Callable[[Json], Event]] = {
    "submit": _arrival,
    "returned": _outcome,
    "timer": lambda e: TimerExpired(_text(e, "name")),
    "dropped": lambda e: ClientDisconnected(_text(e, "ticket")),
    "accepted": lambda e: ResponseStarted(
        _text(e, "ticket"), _whole(e, "attempt"), _whole(e, "upstream"), e.get("took_ns") or 0
    ),
    "probe_result": lambda e: HealthCheckEnded(
        _whole(e, "upstream"), RESULTS[e["result"]], e.get("took_ns") or 0, _metrics(e)
    ),
    "message": lambda e: GossipReceived(_whole(e, "origin_peer"), base64.b64decode(e["blob"], validate=True)),
}


def _command(action: Action) -> Json:
    """An action as a command of the wire (WIRE, Actions), but for the number of its balancer."""
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
        case CheckHealth(endpoint_id):
            return {"t": "sample", "upstream": endpoint_id}
        case SendGossip(data, recipient):
            return {"t": "announce", "dst": recipient, "blob": base64.b64encode(data).decode()}
        case CloseIdleConnections(endpoint_id):
            return {"t": "close", "upstream": endpoint_id}
        case WatchEndpoints(watch):
            return {"t": "track", "active": watch}
        case FetchEndpoints():
            return {"t": "fetch"}
        case SetTimer(delay_ns, name):
            return {"t": "schedule", "wait_ns": delay_ns, "name": name}
        case LogMessage(text):
            return {"t": "write_log", "message": text}
        case _:
            assert_never(action)


class Host:
    """The balancers of one process, and the numbered upstream lists that they share on the wire."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, Sequence[Endpoint]] = {}

    def batch(self, line: str) -> str:
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise MalformedInputError("a batch must be an object")
        now, number, happened = (batch.get(k) for k in ("sim_time_ns", "round", "happened"))
        if not _is_whole(now):
            raise MalformedInputError("batch without a whole-number sim_time_ns")
        if not _is_whole(number):
            raise MalformedInputError("batch without a whole-number round")
        if not isinstance(happened, list):
            raise MalformedInputError("batch without the array happened")
        # A balancer's events are gathered and handed over together, so that it sees all that a batch brings.
        waiting: dict[int, list[Event]] = {}
        commands: list[Json] = []
        for event in happened:
            try:
                self._take(event, now, waiting, commands)
            except MalformedInputError:
                raise
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise MalformedInputError(
                    f"event {json.dumps(event)[:200]}: {type(error).__name__} {error}"
                ) from None
        for number_of, events in waiting.items():
            self._run(number_of, now, events, commands)
        return json.dumps({"round": number, "cmds": commands}, separators=(",", ":"))

    def _take(self, event: Json, now: int, waiting: dict[int, list[Event]], commands: list[Json]) -> None:
        kind = event["t"]
        if kind == "directory":
            self.lists[event["buffer"]] = [read_upstream(row) for row in event["rows_in"]]
            return
        number = event["balancer"]
        if kind == "new_instance":
            waiting.pop(number, None)
            settings = read_settings(event["settings"])
            try:
                self.balancers[number] = Balancer(settings, event["seed"], now)
            except Exception as error:
                commands.append(_fault(number, error))
            return
        if kind == "power_off":
            self.balancers.pop(number, None)
            waiting.pop(number, None)
            return
        if number not in self.balancers:
            raise MalformedInputError(f"event {kind} for balancer {number}, which was not started")
        if kind == "membership":
            form = LISTS[event["form"]]
            rows = () if form is EndpointUpdateKind.FAILED else self.lists[event["buffer"]]
            waiting.setdefault(number, []).append(EndpointUpdate(form, rows))
        elif kind in READ:
            waiting.setdefault(number, []).append(READ[kind](event))
        else:
            raise MalformedInputError(f"unknown event {kind!r}")

    def _run(self, number: int, now: int, events: list[Event], commands: list[Json]) -> None:
        try:
            for action in self.balancers[number].handle(now, events):
                command = _command(action)
                command["balancer"] = number
                commands.append(command)
        except Exception as error:
            commands.append(_fault(number, error))


def _fault(number: int, error: Exception) -> Json:
    """A failure of the decision code, told to the simulator with the place where it happened."""
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    where = f" at {place.tb_frame.f_code.co_name}:{place.tb_lineno}" if place is not None else ""
    return {"t": "fault", "balancer": number, "message": f"{type(error).__name__}: {error}{where}"}


def main() -> int:
    host = Host()
    for count, line in enumerate(sys.stdin, 1):
        try:
            reply = host.batch(line)
        except MalformedInputError as error:
            print(f"adapter: line {count}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
