"""The simulator's wire: actions written as commands, and events read with and without optional keys."""

from __future__ import annotations

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    CloseIdleConnections,
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
from loadbalancer.simulator_wire import read_event, write_command


@pytest.mark.parametrize(
    ("action", "command"),
    [
        (Forward("r1", 7, 5), {"t": "submit_to", "ticket": "r1", "upstream": 7, "timeout_ns": 5}),
        (Reject("r1", 5), {"t": "push_back", "ticket": "r1", "backoff_ns": 5}),
        (Fail("r1"), {"t": "finish_error", "ticket": "r1"}),
        (CancelAttempt("r1", 2), {"t": "retract", "ticket": "r1", "attempt": 2}),
        (CheckHealth(7), {"t": "sample", "upstream": 7}),
        (CloseIdleConnections(7), {"t": "close", "upstream": 7}),
        (WatchEndpoints(False), {"t": "track", "active": False}),
        (FetchEndpoints(), {"t": "fetch"}),
        (SetTimer(5, "3"), {"t": "schedule", "wait_ns": 5, "name": "3"}),
        (SendGossip(b"one", 1), {"t": "announce", "dst": 1, "blob": "b25l"}),
        (LogMessage("text"), {"t": "write_log", "message": "text"}),
    ],
)
def test_actions_are_written_as_commands(action: Action, command: Json) -> None:
    assert write_command(action) == command


@pytest.mark.parametrize(
    ("raw", "event"),
    [
        (
            {"t": "submit", "ticket": "r1", "kind": "read", "deadline_ns": 9},
            RequestArrived("r1", "read", "", 9),
        ),
        (
            {
                "t": "submit",
                "ticket": "r1",
                "kind": "read",
                "user_group": "elm",
                "deadline_ns": 9,
                "cost_guess_ns": 4,
                "entity": "k",
                "resent": True,
            },
            RequestArrived("r1", "read", "elm", 9, 4, "k", True),
        ),
        (
            {"t": "returned", "ticket": "r1", "attempt": 0, "upstream": 7, "result": "shed"},
            AttemptEnded("r1", 0, 7, AttemptResult.REJECTED, 0),
        ),
        (
            {"t": "accepted", "ticket": "r1", "attempt": 1, "upstream": 7, "took_ns": 3},
            ResponseStarted("r1", 1, 7, 3),
        ),
        (
            {"t": "probe_result", "upstream": 7, "result": "delivered", "metrics": {"util": 0.5}},
            HealthCheckEnded(7, AttemptResult.OK, 0, {"util": 0.5}),
        ),
        ({"t": "timer", "name": "3"}, TimerExpired("3")),
        ({"t": "dropped", "ticket": "r1"}, ClientDisconnected("r1")),
        ({"t": "message", "origin_peer": 1, "blob": "b25l"}, GossipReceived(1, b"one")),
    ],
)
def test_events_are_read_with_defaults_for_absent_keys(raw: Json, event: Event) -> None:
    assert read_event(raw) == event
    assert type(read_event(raw)) is type(event)


@pytest.mark.parametrize(
    "raw",
    [
        {"t": "timer", "name": 3},
        {"t": "accepted", "ticket": "r1", "attempt": True, "upstream": 7},
        {"t": "accepted", "ticket": "r1", "attempt": 0, "upstream": 7.0},
        {"t": "probe_result", "upstream": 7, "result": "delivered", "metrics": [1]},
    ],
)
def test_values_of_the_wrong_type_are_rejected(raw: Json) -> None:
    with pytest.raises(TypeError, match="is not "):
        read_event(raw)
