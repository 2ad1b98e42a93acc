"""A scale test: what the endpoint list costs balancers, and how fast a change of it is in force.

One command, `python -m scale_test`, starts a fake of discovery, real balancers as the deploy file runs them,
and hollow ones (the real proxy and policy with no clients, many in a process), takes them through a scenario
of changes and reports. Each helper is a process of its own that carries out commands, one JSON line each.

`scale_test.slopes` measures what one more endpoint, tenant or request costs, `scale_test.subset_balance` how
even the balancers' subsets are.
"""
