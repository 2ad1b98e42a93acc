"""Upstreams whose answers have no length and come whole: the balancer passes none of them on."""

from __future__ import annotations

import asyncio
import sys

from harness_2.balancer import almaty_settings
from harness_2.http import OK, Message
from harness_2.play import Scene, run
from harness_2.record import has_trouble
from harness_2.servers import Connection, Upstream

REQUESTS = 60
NO_LENGTH_ONE_IN = 2  # of the answers
FORWARDED_MIN = 0.5  # of the answers with no length that come whole
DEADLINE_MS = 800
PAUSE_S = 0.02
PATH = "/reading"
START = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


class Answers:
    """Serves requests, some of them with an answer whose end is the end of the connection."""

    def __init__(self) -> None:
        """Begin with no answer."""
        self.count = 0
        self.without_length: set[str] = set()

    async def serve(self, upstream: Upstream, request: Message, connection: Connection) -> bool:
        """Serve every other request with a whole answer that has no length."""
        self.count += 1
        if not has_trouble() or self.count % NO_LENGTH_ONE_IN:
            return False
        request_id = request.headers["req-id"]
        upstream.note_run(request)
        await asyncio.sleep(upstream.work_s)
        upstream.record.write(f"{upstream.name} sends a whole answer with no length id={request_id}")
        self.without_length.add(request_id)
        await connection.send(START + upstream.answer_body(request))
        connection.close()
        return True


async def play(scene: Scene) -> None:
    """Send requests one after another, and count which answers come through."""
    answers = Answers()
    for upstream in await scene.add_upstreams(["u1", "u2", "u3", "u4"], "alm-1"):
        upstream.behavior = answers.serve
    client = scene.client(await scene.add_balancer(almaty_settings()))
    served = set()
    for _ in range(REQUESTS):
        outcome = await client.send("POST", PATH, DEADLINE_MS, body=b"{}")
        if outcome.status == OK:
            served.add(outcome.request_id)
        await asyncio.sleep(PAUSE_S)
    client.close()
    whole = len(answers.without_length)
    forwarded = len(answers.without_length & served)
    scene.record.write(f"{forwarded} of {whole} whole answers with no length were forwarded")
    if forwarded < FORWARDED_MIN * whole:
        scene.record.broken(f"{forwarded} of {whole} whole answers with no length were forwarded")
    with_length = REQUESTS - whole
    scene.record.write(f"{len(served) - forwarded} of {with_length} other requests were served")


if __name__ == "__main__":
    sys.exit(run(__file__, play))
