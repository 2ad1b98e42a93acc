"""Slopes: what one more upstream, tenant, route, service, request or connection costs a balancer.

`python -m scale_test.slopes` measures each subject at several sizes and fits a line to each figure. A figure
is processor time (its name ends in `_s`; with `wall` in it, time on the wall clock), bytes (`_b`) or a count.
The names of subjects and figures stay as they are, so that files of earlier runs under `docs/scale/` can be
compared.
"""
