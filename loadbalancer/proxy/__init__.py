"""The proxy: the process that serves clients, with its sockets, clock and timers.

`proxy` joins the parts: it hands events to the policy (`loadbalancer.policy`) and has the policy's actions
carried out. Nothing here chooses an endpoint or decides on retries.
"""
