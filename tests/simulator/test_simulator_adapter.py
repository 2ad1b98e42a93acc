"""The simulator's adapter as a process: requests, settings, malformed input, and no use of the hash seed."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from loadbalancer.messages import Endpoint
from loadbalancer.settings import DeduplicationScope, WeightSource
from loadbalancer.settings_reader import Json, SettingsError, read_settings
from loadbalancer.simulator_wire import read_endpoint

SETTINGS: Json = {
    "me": 0,
    "replicas_of_me": 2,
    "locality": "north",
    "unknown_key": {"deep": 1},
    "registry_mode": "ask",
    "profiles": [{"name": "look", "repeat": "read_like", "aim_ns": 300_000_000}],
    "realms": [{"name": "elm", "share": 0.6}, {"name": "fir", "share": 0.4}],
    "limits": {"send_cap": 3, "may_cancel": True, "second_copies": True, "retry_after": True},
    "rules": {"ask_within_ns": 10_000_000_000, "cold_from": 0.3, "cold_ns": 5_000_000_000},
    "load_report": {"columns": ["util", "strange"], "how": "answers"},
}
ROWS = [
    {"upstream": i, "locality": "north", "cohort": 1, "availability": 1, "extra": 3} for i in (11, 12, 13)
]


def run_adapter(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "loadbalancer.simulator_adapter"],
        input="".join(f"{input_line}\n" for input_line in lines),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def batch(round_number: int, now_ns: int, *happened: Json) -> str:
    return json.dumps({"sim_time_ns": now_ns, "round": round_number, "happened": list(happened)})


def start_events(balancer: int = 0) -> list[Json]:
    return [
        {"t": "new_instance", "balancer": balancer, "seed": 5, "settings": SETTINGS},
        {"t": "directory", "buffer": 0, "rows_in": ROWS},
        {"t": "membership", "balancer": balancer, "form": 2, "stamp": 1, "buffer": 0},
    ]


def request_arrived(ticket: str, now_ns: int, balancer: int = 0) -> Json:
    return {
        "t": "submit",
        "balancer": balancer,
        "ticket": ticket,
        "kind": "look",
        "user_group": "elm",
        "deadline_ns": now_ns + 400_000_000,
    }


def simulated_batches() -> list[str]:
    lines = [batch(1, 10**9), batch(2, 2 * 10**9, *start_events(0), *start_events(1))]
    for i in range(40):
        now_ns = 2 * 10**9 + i * 10**7
        lines.append(
            batch(
                3 + i,
                now_ns,
                *(request_arrived(f"t{i}-{j}-{b}", now_ns, b) for j in range(3) for b in (0, 1)),
            )
        )
    return lines


def test_a_request_is_forwarded_and_its_result_is_accepted() -> None:
    now_ns = 2 * 10**9
    done = run_adapter(
        [
            batch(1, now_ns, *start_events(), request_arrived("t1", now_ns)),
            batch(
                2,
                now_ns + 10**7,
                {
                    "t": "returned",
                    "balancer": 0,
                    "ticket": "t1",
                    "attempt": 0,
                    "upstream": 11,
                    "result": "delivered",
                    "took_ns": 10**7,
                    "complete": True,
                    "metrics": {"util": 0.2, "strange": 1},
                },
            ),
        ]
    )
    assert done.returncode == 0
    assert not done.stderr
    first, second = (json.loads(line) for line in done.stdout.splitlines())
    forwards = [c for c in first["cmds"] if c["t"] == "submit_to"]
    assert len(forwards) == 1
    assert forwards[0]["upstream"] in (11, 12, 13)
    assert forwards[0]["balancer"] == 0
    assert second["round"] == 2


def test_replies_do_not_depend_on_the_hash_seed() -> None:
    assert run_adapter(simulated_batches(), "1").stdout == run_adapter(simulated_batches(), "2").stdout != ""


def test_power_off_removes_the_balancer() -> None:
    now_ns = 2 * 10**9
    done = run_adapter(
        [
            batch(1, now_ns, *start_events(), request_arrived("t1", now_ns)),
            batch(2, now_ns + 1, {"t": "power_off", "balancer": 0}),
            batch(3, now_ns + 2, {"t": "timer", "balancer": 0, "name": "1"}),
        ]
    )
    assert done.returncode == 2
    assert "not started" in done.stderr


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "not JSON"),
        ("[]", "batch: list is not an object"),
        ('{"round":1,"happened":[]}', "sim_time_ns"),
        ('{"sim_time_ns":1,"happened":[]}', "round"),
        ('{"sim_time_ns":1,"round":1}', "happened"),
        (batch(1, 1, {"t": "strange", "balancer": 0}), "not started"),
        (batch(1, 1, {"balancer": 0}), "KeyError"),
        (batch(1, 1, *start_events(), {"t": "strange", "balancer": 0}), "unknown event 'strange'"),
        (batch(1, 1, *start_events(), {"t": "submit", "balancer": 0, "ticket": "t1"}), "KeyError 'kind'"),
        (
            batch(1, 1, *start_events(), {**request_arrived("t1", 1), "deadline_ns": "soon"}),
            "deadline_ns: 'soon' is not an integer",
        ),
        (
            batch(1, 1, *start_events(), {**request_arrived("t1", 1), "ticket": 7}),
            "ticket: 7 is not a string",
        ),
        (
            batch(
                1,
                1,
                *start_events(),
                {"t": "membership", "balancer": 0, "form": 1, "stamp": 2, "buffer": 9},
            ),
            "KeyError 9",
        ),
        (
            batch(
                1,
                1,
                *start_events(),
                {"t": "membership", "balancer": 0, "form": 7, "stamp": 2, "buffer": 0},
            ),
            "KeyError 7",
        ),
        (
            batch(
                1,
                1,
                *start_events(),
                {
                    "t": "probe_result",
                    "balancer": 0,
                    "result": "delivered",
                    "upstream": 11,
                    "metrics": {"util": "high"},
                },
            ),
            "metrics: {'util': 'high'} is not an object of numbers",
        ),
    ],
)
def test_malformed_input_ends_the_adapter_with_a_message(line: str, message: str) -> None:
    done = run_adapter([line])
    assert done.returncode == 2
    assert message in done.stderr
    assert "Traceback" not in done.stderr


def test_an_exception_in_a_balancer_is_reported_as_a_fault() -> None:
    done = run_adapter(
        [
            batch(
                1,
                1,
                {
                    "t": "new_instance",
                    "balancer": 3,
                    "seed": "no number",
                    "settings": {"rules": {"ask_within_ns": "soon"}, "registry_mode": "ask"},
                },
            )
        ]
    )
    assert done.returncode == 0
    fault = json.loads(done.stdout)["cmds"][0]
    assert fault["t"] == "fault"
    assert fault["balancer"] == 3
    assert "TypeError" in fault["message"]


def test_settings_are_read_into_their_fields() -> None:
    raw = {
        **SETTINGS,
        "zones": ["north", "south"],
        "weight_source": "live",
        "over_share_worth": 0.2,
        "clients": {"marks_retry": True},
        "load_report": {"columns": ["inflight"], "how": "probe"},
        "prices": {"cross_zone": 0.01, "connection": 0.03, "registry_mode": 0.5, "late_fail": 0.02},
        "profiles": [
            {
                "name": "look",
                "repeat": "idempotency_key",
                "dedup_scope": "cell",
                "aim_ns": 5,
                "window_ns": 7,
                "aim_stretch": 1.5,
                "hard_limit_ns": 9,
                "runs_in": ["north"],
                "allowed_on": ["big"],
            }
        ],
        "rules": {"full_unproven": True, "grace_to_answer_ns": 3, "stop_sending_within_ns": 4},
        "limits": {"conn_idle_ns": 6, "max_streams": 8, "max_open": 10, "cpu_us_per_s": 12},
    }
    settings = read_settings(raw)
    request_class = settings.request_classes["look"]
    assert (
        request_class.allowed_zones,
        request_class.allowed_machine_types,
        request_class.deduplication_scope,
    ) == (
        frozenset({"north"}),
        frozenset({"big"}),
        DeduplicationScope.CELL,
    )
    assert (
        request_class.latency_objective_stretch,
        request_class.client_timeout_ns,
        request_class.deduplication_window_ns,
    ) == (
        1.5,
        9,
        7,
    )
    assert settings.rules.rejected_may_have_run
    assert settings.rules.answer_grace_ns == 3
    assert settings.weight_source is WeightSource.LIVE
    assert settings.over_quota_weight == 0.2
    assert settings.client_retries_marked
    assert not settings.load_reports_in_responses
    assert settings.zones == ("north", "south")
    assert (settings.prices.connection, settings.prices.endpoint_list, settings.prices.late_failure) == (
        0.03,
        0.5,
        0.02,
    )
    assert (
        settings.limits.connection_idle_timeout_ns,
        settings.limits.max_streams_per_connection,
        settings.limits.max_pending_requests,
    ) == (6, 8, 10)
    row = {"upstream": 5, "class_of_host": "big", "scale": 0.25, "up_since_ns": 3, "cohort": 2}
    assert read_endpoint(row) == Endpoint(5, cell=2, weight=0.25, started_ns=3, machine_type="big")


@pytest.mark.parametrize(
    ("raw", "expected_message"),
    [
        (None, "settings: None"),
        ({"limits": 3}, "limits: 3"),
        ({"zones": 5}, "zones: 5"),
        ({"weight_source": "heavy"}, "weight_source: 'heavy'"),
        ({"realms": [{"share": 0.5}]}, "realms[0].name: missing"),
        ({"realms": "ash"}, "realms: 'ash'"),
        ({"profiles": [{"name": "a"}, "b"]}, "profiles[1]: 'b'"),
        ({"profiles": [{"name": "a", "repeat": "often"}]}, "profiles[0].repeat: 'often'"),
        ({"profiles": [{"name": "a", "repeat": None}]}, "profiles[0].repeat: None"),
        ({"profiles": [{"name": "a", "dedup_scope": "site"}]}, "profiles[0].dedup_scope: 'site'"),
        ({"profiles": [{"name": "a", "runs_in": 4}]}, "profiles[0].runs_in: 4"),
    ],
)
def test_invalid_settings_are_reported_by_key_and_value(raw: Json, expected_message: str) -> None:
    with pytest.raises(SettingsError, match=re.escape(expected_message)):
        read_settings(raw)


def test_the_adapter_builds_and_starts_as_the_deploy_file_says() -> None:
    root = Path(__file__).parent.parent.parent
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=root, check=True, timeout=600)
    assert all((root / name).is_file() for name in deploy["policy"])
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]],
        cwd=root,
        input="".join(f"{input_line}\n" for input_line in simulated_batches()),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0
    assert [r["round"] for r in replies] == list(range(1, 43))
    assert any(c["t"] == "submit_to" for r in replies for c in r["cmds"])
    assert done.stdout == run_adapter(simulated_batches()).stdout
