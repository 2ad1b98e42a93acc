"""Test doubles of the policy: one with scripted actions, and one that records another policy."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from loadbalancer.messages import Action, EndpointUpdate, EndpointUpdateKind, Event
from loadbalancer.proxy.proxy import Policy

EventType = TypeVar("EventType")


@dataclass
class ScriptedPolicy:
    """A policy that records its events, and whose actions come from `react`."""

    react: Callable[[Event], Iterable[Action]] = lambda _event: ()
    events: list[Event] = field(default_factory=list)
    active_calls: int = 0
    max_call_depth: int = 0  # above 1: `handle` was called again before it had returned

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:  # noqa: ARG002 - the signature of a policy
        """Record the events; return the actions that `react` gives for them."""
        self.active_calls += 1
        self.max_call_depth = max(self.max_call_depth, self.active_calls)
        self.events += events
        actions = [action for event in events for action in self.react(event)]
        self.active_calls -= 1
        return actions

    def events_of(self, event_type: type[EventType]) -> list[EventType]:
        """Return the events of one type, in the order of their arrival."""
        return [event for event in self.events if isinstance(event, event_type)]

    def endpoint_ids(self) -> list[int]:
        """Return the ids of the endpoints in the last complete list."""
        updates = self.events_of(EndpointUpdate)
        complete = [update for update in updates if update.kind is not EndpointUpdateKind.DELTA]
        return [endpoint.id for endpoint in complete[-1].endpoints]


@dataclass
class HandledBatch:
    """A batch of events, and the actions that a policy returned for it."""

    events: list[Event]
    actions: list[Action]

    def has_update(self, kind: EndpointUpdateKind) -> bool:
        """Return whether the events include an endpoint update of this kind."""
        return any(isinstance(event, EndpointUpdate) and event.kind is kind for event in self.events)


@dataclass
class RecordingPolicy:
    """A policy that passes events on to another one, and records them with its actions."""

    policy: Policy
    batches: list[HandledBatch] = field(default_factory=list)

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:
        """Pass the events on; record them and the returned actions."""
        batch = HandledBatch(list(events), [])
        batch.actions = list(self.policy.handle(now_ns, batch.events))
        self.batches.append(batch)
        return batch.actions

    def first_actions_after(self, kind: EndpointUpdateKind) -> list[Action] | None:
        """Return the actions for the first batch with an endpoint update of this kind, or None."""
        return next((batch.actions for batch in self.batches if batch.has_update(kind)), None)
