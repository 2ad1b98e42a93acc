"""python -m scale_test.evenness: how even the subsets of all balancers are, and how much one change moves."""

from __future__ import annotations

from collections import Counter

import click

from loadbalancer.messages import Endpoint
from loadbalancer.policy.subsetting import choose_subset
from loadbalancer.settings import Prices, Settings
from loadbalancer.state.endpoint_ids import preferred_id
from loadbalancer.state.endpoint_table import EndpointTable, Placement
from scale_test.plan import Plan, zone_name

Subsets = list[frozenset[int]]


def subsets(table: EndpointTable, balancers: int, zones: list[str]) -> Subsets:
    """Of each of so many balancers, spread over the zones in turn."""
    found = []
    prices = Prices(connection=0.03, cross_zone=0.02) if zones else Prices()
    for me in range(balancers):
        table.settings = Settings(
            proxy_index=me,
            proxy_count=balancers,
            zones=zones,
            prices=prices,
            zone=zones[me % len(zones)] if zones else "",
        )
        found.append(frozenset(choose_subset(table, table.placements[0]).assigned))
    return found


def moved(before: Subsets, after: Subsets) -> int:
    """Memberships that came; of balancers that were there before."""
    return sum(len(b - a) for a, b in zip(before, after, strict=False))


def figures(upstreams: int, balancers: int, zoned: bool) -> dict[str, float]:
    plan = Plan(upstreams=upstreams)
    zones = [zone_name(i) for i in range(plan.zones)] if zoned else []
    prices = Prices(connection=0.03, cross_zone=0.02) if zoned else Prices()
    table = EndpointTable(Settings(proxy_count=balancers, zones=zones, prices=prices))
    table.placements.append(Placement(None, None))
    ids = [preferred_id(f"s-{i:08x}") for i in range(upstreams)]
    for i, number in enumerate(ids):
        table.upsert(Endpoint(number, zone=zone_name(plan.zone_of(i)), cell=i // 100))
    table.apply_changes()
    before = subsets(table, balancers, zones)
    shares, sizes = Counter(key for subset in before for key in subset), [len(s) for s in before]
    mean = sum(sizes) / upstreams
    more = moved(before, subsets(table, balancers + 1, zones))
    table.remove(ids[upstreams // 2])
    table.apply_changes()
    return {
        "smallest subset": min(sizes),
        "largest subset": max(sizes),
        "memberships": sum(sizes),
        "upstreams in no subset": upstreams - len(shares),
        "balancers an upstream, least": min(shares.values()) if len(shares) == upstreams else 0,
        "balancers an upstream, mean": mean,
        "balancers an upstream, most": max(shares.values()),
        "most to mean": max(shares.values()) / mean,
        "moved by one balancer more": more,
        "moved by one upstream gone": moved(before, subsets(table, balancers, zones)),
    }


@click.command(help=__doc__, context_settings={"show_default": True})
@click.option("--upstreams", type=click.IntRange(min=40), default=160_000)
@click.option("--balancers", type=click.IntRange(min=1), default=8_800)
def main(upstreams: int, balancers: int) -> None:
    for zoned in (False, True):
        click.echo("in their zones" if zoned else "without zones")
        for name, value in figures(upstreams, balancers, zoned).items():
            click.echo(f"  {name}: {value:,.4g}" if value % 1 else f"  {name}: {value:,.0f}")


if __name__ == "__main__":
    main()
