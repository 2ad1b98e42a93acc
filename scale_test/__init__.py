"""Scale test: what a long endpoint list costs balancers, and how soon a change of it is in force.

A change is in force at a balancer once the balancer's policy has applied it.

`python -m scale_test` starts a fake discovery, upstreams, clients, real balancers as the deploy file runs
them, and hollow balancers: the real proxy and policy without clients, many in one process. It plays a
scenario of list changes and reports the measurements. Discovery, upstreams, clients and hollow balancers run
in helper processes, which the experiment controls by commands, one JSON line each.

`scale_test.slopes` measures what one more endpoint, tenant or request costs; `scale_test.subset_balance`
measures how evenly the balancers' subsets cover the upstreams.
"""
