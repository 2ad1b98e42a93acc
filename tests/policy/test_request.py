"""Look-up of a request's attempts in flight, and removal of requests from the table."""

from __future__ import annotations

from loadbalancer.messages import AttemptResult
from loadbalancer.state.request import RequestTable
from tests.support.requests import add_attempt, make_request, make_state


def test_an_attempt_in_flight_is_found_by_its_number_and_endpoint() -> None:
    request, state = make_request(), make_state()
    attempt = add_attempt(request, state)
    assert request.attempt_in_flight(0, state.id) is attempt
    assert request.attempt_in_flight(0, state.id + 1) is None
    assert request.attempt_in_flight(1, state.id) is None
    assert request.attempt_in_flight(-1, state.id) is None
    attempt.end(AttemptResult.OK, may_have_run=True)
    assert request.attempt_in_flight(0, state.id) is None


def test_a_request_stays_in_the_table_until_its_last_attempt_ends() -> None:
    requests, request = RequestTable(), make_request()
    attempt = add_attempt(request, make_state())
    requests.add(request)
    request.finished = True
    requests.try_remove(request)
    assert requests.get(request.id) is request
    attempt.end(AttemptResult.CANCELLED, may_have_run=True)
    requests.try_remove(request)
    assert request.id not in requests
    assert len(requests) == 0
