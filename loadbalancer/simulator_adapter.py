"""The simulator's adapter: runs many balancers in one process, driven over the simulator's wire.

    python -m loadbalancer.simulator_adapter < batches > replies

Each line of input is a batch of events, as a JSON object, and is answered with one line of commands. A line
that is not a valid batch ends the process with a message on standard error and exit status 2; an exception
inside a balancer is reported by a `fault` command.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind, Event
from loadbalancer.policy.balancer import Balancer
from loadbalancer.settings_reader import Json, read_settings
from loadbalancer.simulator_wire import (
    EVENT_READERS,
    UPDATE_KIND_BY_FORM,
    is_integer,
    read_endpoint,
    read_event,
    write_command,
)

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2
MAX_QUOTED_EVENT_CHARACTERS = 200


class MalformedInputError(Exception):
    """A line of input violates the wire format; the message says how."""


@dataclass(slots=True)
class Batch:
    """One line of input while it is processed.

    A balancer receives all its events of the batch in one call.
    """

    now_ns: int  # simulated time, in nanoseconds
    events: dict[int, list[Event]] = field(default_factory=dict)  # pending events, by balancer number
    commands: list[Json] = field(default_factory=list)  # commands of the reply

    def add_event(self, number: int, event: Event) -> None:
        """Queue an event for the balancer with this number."""
        self.events.setdefault(number, []).append(event)


class AdapterHost:
    """The balancers of one process, and the endpoint lists that events refer to, both by number."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, Sequence[Endpoint]] = {}

    def handle_line(self, line: str) -> str:
        """Handle one batch and return the reply.

        Raises:
            MalformedInputError: The line is not a valid batch.
        """
        raw = _parse(line)
        batch = Batch(_integer(raw, "sim_time_ns"))
        round_number = _integer(raw, "round")
        happened = raw.get("happened")
        if not isinstance(happened, list):
            raise MalformedInputError(f"happened: {type(happened).__name__} is not an array")
        for event in happened:
            self._handle_event(event, batch)
        for balancer_number, events in batch.events.items():
            self._run_balancer(balancer_number, events, batch)
        return json.dumps({"round": round_number, "cmds": batch.commands}, separators=(",", ":"))

    def _handle_event(self, event: Json, batch: Batch) -> None:
        try:
            self._dispatch(event, batch)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            text = json.dumps(event)[:MAX_QUOTED_EVENT_CHARACTERS]
            raise MalformedInputError(f"event {text}: {type(error).__name__} {error}") from error

    def _dispatch(self, event: Json, batch: Batch) -> None:
        match event["t"]:
            case "directory":
                self.endpoint_lists[event["buffer"]] = [read_endpoint(row) for row in event["rows_in"]]
            case "new_instance":
                self._start_balancer(event, batch)
            case "power_off":
                self.balancers.pop(event["balancer"], None)
                batch.events.pop(event["balancer"], None)
            case kind:
                self._add_event(kind, event, batch)

    def _start_balancer(self, event: Json, batch: Batch) -> None:
        number = event["balancer"]
        batch.events.pop(number, None)
        settings = read_settings(event["settings"])
        try:
            self.balancers[number] = Balancer(settings, event["seed"], batch.now_ns)
        except Exception as error:  # noqa: BLE001 - the wire reports each exception of a balancer as `fault`
            batch.commands.append(_fault(number, error))

    def _add_event(self, kind: str, event: Json, batch: Batch) -> None:
        number = event["balancer"]
        if number not in self.balancers:
            raise MalformedInputError(f"event {kind} for balancer {number}, which was not started")
        if kind == "membership":
            batch.add_event(number, self._endpoint_update(event))
        elif kind in EVENT_READERS:
            batch.add_event(number, read_event(event))
        else:
            raise MalformedInputError(f"unknown event {kind!r}")

    def _endpoint_update(self, event: Json) -> EndpointUpdate:
        kind = UPDATE_KIND_BY_FORM[event["form"]]
        if kind is EndpointUpdateKind.FAILED:
            return EndpointUpdate(kind)
        return EndpointUpdate(kind, self.endpoint_lists[event["buffer"]])

    def _run_balancer(self, number: int, events: list[Event], batch: Batch) -> None:
        try:
            for action in self.balancers[number].handle(batch.now_ns, events):
                command = write_command(action)
                command["balancer"] = number
                batch.commands.append(command)
        except Exception as error:  # noqa: BLE001 - the wire reports each exception of a balancer as `fault`
            batch.commands.append(_fault(number, error))


def _parse(line: str) -> Json:
    try:
        raw = json.loads(line)
    except ValueError as error:
        raise MalformedInputError(f"not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise MalformedInputError(f"batch: {type(raw).__name__} is not an object")
    return raw


def _integer(batch: Json, name: str) -> int:
    value = batch.get(name)
    if not is_integer(value):
        raise MalformedInputError(f"{name}: {value!r} is not an integer")
    return value


def _fault(number: int, error: Exception) -> Json:
    """Return the `fault` command for an exception, which names the function and line that raised it."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    where = f" at {frame.tb_frame.f_code.co_name}:{frame.tb_lineno}" if frame is not None else ""
    return {"t": "fault", "balancer": number, "message": f"{type(error).__name__}: {error}{where}"}


def main() -> int:
    """Reply to each line of standard input until its end or a malformed line; return the exit status."""
    host = AdapterHost()
    for line_number, line in enumerate(sys.stdin, 1):
        try:
            reply = host.handle_line(line)
        except MalformedInputError as error:
            print(f"adapter: line {line_number}: {error}", file=sys.stderr)
            return EXIT_MALFORMED_INPUT
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
