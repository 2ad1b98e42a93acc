"""A soak test: real balancer processes under seeded faults, checked against the service rules.

python -m tests.soak --seeds 1-60 --jobs 3 --json soak.json
"""
