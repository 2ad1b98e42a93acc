"""Tests of gossip between two proxies, over loopback sockets."""

from __future__ import annotations

import asyncio

from loadbalancer.messages import (
    GossipReceived,
    SendGossip,
    TimerExpired,
)
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.settings import Settings
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST
from tests.support.scripted import on_timer
from tests.support.waiting import wait_until


async def free_datagram_addresses(count: int) -> list[Address]:
    loop = asyncio.get_running_loop()
    bound = [await loop.create_datagram_endpoint(asyncio.DatagramProtocol, (HOST, 0)) for _ in range(count)]
    addresses = [transport.get_extra_info("sockname") for transport, _ in bound]
    for transport, _ in bound:
        transport.close()
    await asyncio.sleep(0)  # closed transports end in the next event loop turn
    return addresses


def gossip_config(index: int, addresses: list[Address]) -> Configuration:
    """Configure one of two proxies; a message to all peers is sent to the second one only."""
    return Configuration(
        f"n{index}",
        (HOST, 0),
        (HOST, 1),
        index,
        1024,
        Settings(proxy_index=index, proxy_count=2),
        gossip_listen=addresses[index],
        gossip_peers=addresses,
        gossip_broadcast=addresses[1],
    )


async def test_gossip_reaches_one_peer_or_all() -> None:
    addresses = await free_datagram_addresses(2)
    unknown_peer, too_long = 9, b"x" * 257
    sender = ScriptedPolicy(
        on_timer(
            lambda: [
                SendGossip(b"one", 1),
                SendGossip(b"all"),
                SendGossip(b"x", unknown_peer),
                SendGossip(too_long),
            ]
        )
    )
    receiver = ScriptedPolicy()
    proxies = [
        Proxy(gossip_config(position, addresses), policy)
        for position, policy in enumerate((sender, receiver))
    ]
    for proxy in proxies:
        await proxy.start()

    proxies[0].dispatch(TimerExpired("now"))

    await wait_until(lambda: len(receiver.events_of(GossipReceived)) == 2)
    assert set(receiver.events_of(GossipReceived)) == {GossipReceived(0, b"one"), GossipReceived(0, b"all")}
    for proxy in proxies:
        proxy.close()
