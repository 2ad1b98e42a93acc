"""Slopes: what one more upstream, tenant, route, service, request or connection costs a balancer.

`python -m scale_test.slopes` measures each subject at several sizes and fits a line to each figure. A figure
whose name ends in `_s` is processor time in seconds, or wall-clock time if the name contains `wall`; `_b` is
bytes; others are counts. Names of subjects and figures must not change, because results are compared with
the files of earlier runs under `docs/scale/`.
"""
