"""A scale run: how much the list of upstreams costs balancers, and how fast a change is in force.

One command, `python -m scale_test`, starts a stand-in of discovery, real balancers as the deploy file runs
them, and hollow ones (the real node and module with no clients, many in a process), takes them through a
course of changes and reports. Each helper is a process of its own that works off commands, one JSON line
each.
"""
