"""The proxy: the process that serves clients. It owns the sockets, the clock and the timers.

The module `proxy` connects the components: it passes events to the policy (`loadbalancer.policy`) and
executes the actions that the policy returns. Nothing here chooses an endpoint or decides on retries.
"""
