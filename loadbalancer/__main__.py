"""The proxy as a program: environment, logging, signals and exit status.

    RELAY_CONFIG=config.json python -m loadbalancer

SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration. The exit status is 0 after a
shutdown, 1 if the system refuses a resource (for example, if the port is in use), and 2 if the configuration
is missing or invalid.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time

from loadbalancer.configuration_reader import ConfigurationError, read_configuration
from loadbalancer.configuration_reload import ConfigurationReloader
from loadbalancer.logging_setup import configure_logging
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.startup import freeze_heap, readiness_delay_s

CONFIGURATION_VARIABLE = "RELAY_CONFIG"
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EXIT_OK = 0
EXIT_SYSTEM_ERROR = 1
EXIT_BAD_CONFIGURATION = 2

log = logging.getLogger(__name__)


async def serve(config: Configuration, path: str) -> None:
    """Run a proxy until a signal stops it; raise OSError if it can't be started."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    proxy = Proxy(config, Balancer(config.settings, config.seed, time.monotonic_ns()))
    reloader = ConfigurationReloader(path, config, proxy.discovery_client.hand_over_to)
    loop.add_signal_handler(signal.SIGHUP, reloader.start)
    port = await proxy.start(readiness_delay_s(config.cpu_cores, time.process_time()))
    freeze_heap()
    log.info("%s: ready on port %d", config.name, port)
    await stop.wait()
    log.info("%s: stopping", config.name)
    await proxy.drain()
    reloader.stop()
    # After the event loop is closed, the default action of a signal would replace the exit status.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def main() -> int:
    """Run the program; return its exit status."""
    configure_logging()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is a proxy to reload
    path = os.environ.get(CONFIGURATION_VARIABLE)
    if not path:
        print(f"loadbalancer: {CONFIGURATION_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        config = read_configuration(path)
    except ConfigurationError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        asyncio.run(serve(config, path))
    except OSError as error:
        print(f"loadbalancer: {config.name}: {error}", file=sys.stderr)
        return EXIT_SYSTEM_ERROR
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
