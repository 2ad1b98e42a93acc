"""python -m scale_test.subset_balance: how even the balancers' subsets are, and how much one change moves."""

from __future__ import annotations

from collections import Counter

import click

from loadbalancer.messages import Endpoint
from loadbalancer.policy.subsetting import choose_subset, new_endpoint_table
from loadbalancer.settings import Prices, Settings
from loadbalancer.state.endpoint_ids import preferred_id
from loadbalancer.state.endpoint_table import EndpointTable
from loadbalancer.state.placement import Placement
from scale_test.plan import Plan, zone_name
from scale_test.registry import UPSTREAMS_PER_BLOCK

ZONED_PRICES = Prices(connection=0.03, cross_zone=0.02)

Subsets = list[frozenset[int]]


def choose_subsets(table: EndpointTable, balancers: int, zones: list[str]) -> Subsets:
    """Return the subset of each balancer; the balancers are assigned to the zones in turn."""
    subsets = []
    for index in range(balancers):
        settings = Settings(
            proxy_index=index,
            proxy_count=balancers,
            zones=zones,
            prices=ZONED_PRICES if zones else Prices(),
            zone=zones[index % len(zones)] if zones else "",
        )
        subsets.append(frozenset(choose_subset(settings, table.placements[0]).assigned))
    return subsets


def count_moved(before: Subsets, after: Subsets) -> int:
    """Return the number of endpoints added to subsets; balancers that are only in `after` are left out."""
    return sum(len(new - old) for old, new in zip(before, after, strict=False))


def balance_figures(upstreams: int, balancers: int, *, zoned: bool) -> dict[str, float]:
    """Count the memberships of all subsets, and those that one more balancer or one fewer upstream moves.

    A membership is one upstream in the subset of one balancer.
    """
    plan = Plan(upstreams=upstreams)
    zones = [zone_name(number) for number in range(plan.zones)] if zoned else []
    ids = [preferred_id(f"s-{number:08x}") for number in range(upstreams)]
    table = endpoint_table(plan, ids, balancers, zones)
    before = choose_subsets(table, balancers, zones)
    memberships = Counter(endpoint for subset in before for endpoint in subset)
    sizes = [len(subset) for subset in before]
    mean = sum(sizes) / upstreams
    moved_by_balancer = count_moved(before, choose_subsets(table, balancers + 1, zones))
    table.remove(ids[upstreams // 2])
    table.apply_changes()
    moved_by_upstream = count_moved(before, choose_subsets(table, balancers, zones))
    return {
        "smallest subset": min(sizes),
        "largest subset": max(sizes),
        "memberships": sum(sizes),
        "upstreams in no subset": upstreams - len(memberships),
        "balancers an upstream, least": min(memberships.values()) if len(memberships) == upstreams else 0,
        "balancers an upstream, mean": mean,
        "balancers an upstream, most": max(memberships.values()),
        "most to mean": max(memberships.values()) / mean,
        "moved by one balancer more": moved_by_balancer,
        "moved by one upstream gone": moved_by_upstream,
    }


def endpoint_table(plan: Plan, ids: list[int], balancers: int, zones: list[str]) -> EndpointTable:
    """Return a table of the plan's upstreams, with these ids."""
    prices = ZONED_PRICES if zones else Prices()
    table = new_endpoint_table(Settings(proxy_count=balancers, zones=zones, prices=prices))
    table.add_placement(Placement(None, None))
    for number, endpoint_id in enumerate(ids):
        zone = zone_name(plan.zone_of(number))
        table.upsert(Endpoint(endpoint_id, zone=zone, cell=number // UPSTREAMS_PER_BLOCK))
    table.apply_changes()
    return table


@click.command(help=__doc__, context_settings={"show_default": True})
@click.option("--upstreams", type=click.IntRange(min=40), default=160_000)
@click.option("--balancers", type=click.IntRange(min=1), default=8_800)
def main(upstreams: int, balancers: int) -> None:
    """Print the figures for balancers without zones, and for balancers in zones."""
    for zoned in (False, True):
        click.echo("in their zones" if zoned else "without zones")
        for name, value in balance_figures(upstreams, balancers, zoned=zoned).items():
            click.echo(f"  {name}: {value:,.4g}" if value % 1 else f"  {name}: {value:,.0f}")


if __name__ == "__main__":
    main()
