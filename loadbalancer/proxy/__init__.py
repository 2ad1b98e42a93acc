"""The proxy: the process that serves clients, with its sockets, clock and timers.

`proxy` joins the parts: it passes events to the policy (`loadbalancer.policy`) and carries out its actions.
Nothing here chooses an endpoint or decides on retries.
"""
